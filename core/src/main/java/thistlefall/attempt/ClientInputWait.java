package thistlefall.attempt;

/**
 * Bounds how long the attempts of one request wait until the input of its client has been read. Such an attempt holds a
 * place that the requests of other clients may need, and a client that does not stop sending would hold it until the
 * time of its request is over. Times are nanoseconds of the host's monotonic clock. Not thread-safe.
 */
public final class ClientInputWait {
    /** The longest time for all attempts of a request together: some passes of a busy event loop. */
    static final long MAX_TOTAL = 50_000_000L;

    private boolean waiting;
    private long beganAt;
    private long total;

    /** Begins to wait; returns how long the wait may last, 0 if the request must not wait any more. */
    public long begin(long now) {
        waiting = total < MAX_TOTAL;
        beganAt = now;
        return Math.max(0, MAX_TOTAL - total);
    }

    /** Ends the wait, if there is one. */
    public void end(long now) {
        if (waiting) {
            waiting = false;
            total += now - beganAt;
        }
    }

    /** Whether the request waits. */
    public boolean isWaiting() {
        return waiting;
    }

    /** Returns how long the request has waited, waits that have ended only. */
    public long total() {
        return total;
    }
}
