package thistlefall.edge.loop;

/**
 * Work that is done in small parts, one part in each pass of the event loop. Called on the event loop.
 */
public interface PassWork {
    /** Whether there is anything left to do; the event loop then polls the sockets without waiting for them. */
    boolean hasMore();

    /** Does a part of the work, which takes a bounded time. */
    void runPart();
}
