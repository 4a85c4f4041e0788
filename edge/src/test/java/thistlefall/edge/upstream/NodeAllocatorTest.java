package thistlefall.edge.upstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against freed buffers that the allocator keeps for later ones of the same size: however little is in use, it
 * took all that the JVM allows, and the event loop slept in its next allocation.
 */
class NodeAllocatorTest {
    private static final int IN_USE = 8 << 20;
    /** What may be lost to fragments and to rounding, as a fraction of what is in use. */
    private static final double LOSS = 0.25;

    /** Sizes that a body of 60,000 bytes grows through, and others in between. */
    private static final int[] SIZES = {1_000, 4_000, 8_000, 16_000, 20_000, 28_000, 32_000, 60_000};

    private final EventLoop loop = new DefaultEventLoop();

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    /** Holds {@link #IN_USE} bytes in buffers of one size after another; returns the most that the allocator took. */
    private static long peakAllocation(PooledByteBufAllocator allocator) {
        long peak = 0;
        for (int size : SIZES) {
            List<ByteBuf> held = new ArrayList<>();
            for (int bytes = 0; bytes < IN_USE; bytes += size) {
                held.add(allocator.directBuffer(size, size));
            }
            peak = Math.max(peak, allocator.metric().usedDirectMemory());
            held.forEach(ByteBuf::release);
        }
        return peak;
    }

    @Test
    void freedBuffersServeAnySize() throws Exception {
        long peak = loop.submit(() -> peakAllocation(NodeAllocator.INSTANCE)).get();
        assertTrue(peak <= IN_USE * (1 + LOSS), "taken from the JVM: " + peak);
    }
}
