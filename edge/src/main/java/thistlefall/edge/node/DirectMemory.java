package thistlefall.edge.node;

import io.netty.util.internal.PlatformDependent;
import thistlefall.edge.upstream.NodeAllocator;

/** The direct memory of this process, which all nodes in it share; sizes are in bytes. Thread-safe. */
public final class DirectMemory {
    private DirectMemory() {}

    /**
     * Returns how much a node may hold for its clients. The other half is for what it reads at once, for its
     * connections to servers, and for the free parts of the allocator's chunks: an allocation beyond the JVM's limit
     * fails, and where the options of the deployment are not set, it blocks the event loop for half a second before.
     */
    public static long limitForClients() {
        return limit() / 2;
    }

    /**
     * Returns how much clients may still make the nodes of this process hold, by the buffers in use. A quarter of the
     * limit is kept for the free parts of the allocator's chunks.
     */
    static long availableForClients() {
        return limit() - limit() / 4 - NodeAllocator.usedBytes();
    }

    /** Returns the limit of the JVM ({@code -XX:MaxDirectMemorySize}, by default the maximum heap). */
    static long limit() {
        return PlatformDependent.maxDirectMemory();
    }

    /** Returns what the buffer allocator has taken from the JVM, free parts of its chunks included. */
    static long allocated() {
        return NodeAllocator.allocatedBytes();
    }
}
