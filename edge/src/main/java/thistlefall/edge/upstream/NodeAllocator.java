package thistlefall.edge.upstream;

import io.netty.buffer.PooledByteBufAllocator;

/**
 * The buffer allocator of all connections in this process. It has no caches for threads: those keep freed buffers of
 * each size for the same size, hundreds of each, so that a budget for the buffers in use would not bound what the
 * allocator takes from the JVM. Without them freed buffers of any size are joined and used for any other. One event
 * loop uses an arena without contention. Thread-safe; sizes are in bytes.
 */
public final class NodeAllocator {
    private static final int ARENAS = 1;
    private static final int PAGE_SIZE = 8192;
    /** A chunk is a page shifted by this: 256 KiB, four times the longest body. */
    private static final int CHUNK_ORDER = 5;

    private static final int NO_CACHE = 0;

    /** The allocator for the channels of a node. */
    public static final PooledByteBufAllocator INSTANCE =
            new PooledByteBufAllocator(true, ARENAS, ARENAS, PAGE_SIZE, CHUNK_ORDER, NO_CACHE, NO_CACHE, false);

    private NodeAllocator() {}

    /** Returns what the allocator has taken from the JVM, free parts of its chunks included. */
    public static long allocatedBytes() {
        return INSTANCE.metric().usedDirectMemory();
    }

    /** Returns what the buffers in use take, with what the allocator rounds up. */
    public static long usedBytes() {
        return INSTANCE.pinnedDirectMemory();
    }
}
