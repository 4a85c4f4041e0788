package thistlefall.turn;

/**
 * Bounds what is handled of one client's input at once. Directly after a read a single request is handled: a client
 * that sends one request at a time never waits. What a client has sent beyond that waits for a turn of its own, which
 * is bounded by time. Times are nanoseconds of one clock. Not thread-safe.
 */
public final class InputTurn {
    /** The longest turn, except that its first steps are always taken and its last step is completed. */
    static final long MAX_DURATION = 100_000L;
    /** The steps after a read that are taken whatever time they need: enough for a usual head and its body. */
    static final int MIN_STEPS_AFTER_READ = 4;

    private long beganAt;
    private boolean endsAfterRequest;
    private boolean requestHandled;
    private int steps;

    /** Begins the turn directly after a read. */
    public void beginAfterRead(long now) {
        begin(now, true);
    }

    /** Begins a turn for input that has waited. */
    public void beginAfterWait(long now) {
        begin(now, false);
    }

    private void begin(long now, boolean singleRequest) {
        beganAt = now;
        endsAfterRequest = singleRequest;
        requestHandled = false;
        steps = 0;
    }

    /** Records that a request has been handled to its last byte. */
    public void requestHandled() {
        requestHandled = true;
    }

    /**
     * Returns whether a step that is to be taken now belongs to this turn. The first one always does, also if the
     * process was held up since the turn began; after a read so do the next few of the same request.
     */
    public boolean mayTakeStep(long now) {
        steps++;
        boolean nextRequest = endsAfterRequest && requestHandled;
        return !nextRequest && (steps <= minSteps() || now - beganAt < MAX_DURATION);
    }

    private int minSteps() {
        return endsAfterRequest ? MIN_STEPS_AFTER_READ : 1;
    }
}
