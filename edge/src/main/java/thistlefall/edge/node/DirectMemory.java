package thistlefall.edge.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.util.internal.PlatformDependent;

/** The direct memory of this process, which all nodes in it share; sizes are in bytes. Thread-safe. */
public final class DirectMemory {
    private DirectMemory() {}

    /**
     * Returns how much a node may hold for its clients. The other half is for what it reads at once, for its
     * connections to servers, and for the free parts of the allocator's chunks: an allocation beyond the JVM's limit
     * would block the event loop for about half a second.
     */
    public static long limitForClients() {
        return limit() / 2;
    }

    /** Returns the limit of the JVM ({@code -XX:MaxDirectMemorySize}, by default the maximum heap). */
    static long limit() {
        return PlatformDependent.maxDirectMemory();
    }

    /** Returns what the buffer allocator has taken from the JVM, free parts of its chunks included. */
    static long allocated() {
        return ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider provider
                ? provider.metric().usedDirectMemory()
                : 0;
    }
}
