package thistlefall.turn;

/**
 * Bounds what is handled of one client's input at once. Directly after a read a single request is handled: a client
 * that sends one request at a time never waits. What a client has sent beyond that waits for a turn of its own, which
 * is bounded by time. Times are nanoseconds of one clock. Not thread-safe.
 */
public final class InputTurn {
    /** The longest turn, except that its last step is completed. */
    static final long MAX_DURATION = 100_000L;

    private long beganAt;
    private boolean endsAfterRequest;
    private boolean requestHandled;
    private boolean stepTaken;

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
        stepTaken = false;
    }

    /** Records that a request has been handled to its last byte. */
    public void requestHandled() {
        requestHandled = true;
    }

    /**
     * Returns whether a step that is to be taken now belongs to this turn. The first one always does, also if the
     * process was held up since the turn began.
     */
    public boolean mayTakeStep(long now) {
        boolean first = !stepTaken;
        stepTaken = true;
        return first || !(endsAfterRequest && requestHandled) && now - beganAt < MAX_DURATION;
    }
}
