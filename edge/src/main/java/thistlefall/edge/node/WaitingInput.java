package thistlefall.edge.node;

import thistlefall.edge.loop.PassWork;
import thistlefall.turn.TurnQueue;

/**
 * The input of clients that have sent more than their turn allows. It is handled after the sockets and timers of a pass
 * of the event loop, for a bounded time in each pass. Confined to the node's event loop.
 */
final class WaitingInput implements PassWork {
    private final TurnQueue<ClientInput> queue = new TurnQueue<>();
    private final long maxBytes;
    private long heldBytes;

    /** Creates a queue whose members may hold this many bytes together. */
    WaitingInput(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Whether more input may wait; otherwise it is handled at once. */
    boolean hasRoom() {
        return heldBytes < maxBytes;
    }

    /** Whether so much more may wait. */
    boolean hasRoomFor(long bytes) {
        return heldBytes + bytes <= maxBytes;
    }

    /** Adds to the bytes that wait; negative if fewer do. */
    void addHeldBytes(long bytes) {
        heldBytes += bytes;
    }

    /** Returns the bytes that wait. */
    long heldBytes() {
        return heldBytes;
    }

    void add(ClientInput input) {
        queue.add(input);
    }

    void remove(ClientInput input) {
        queue.remove(input);
    }

    @Override
    public boolean hasMore() {
        return !queue.isEmpty();
    }

    @Override
    public void runPart() {
        queue.runRound(System::nanoTime, ClientInput::takeTurn);
    }
}
