package thistlefall.edge.loop;

/** Allows a log line at most once a second. Not thread-safe; times are monotonic nanoseconds. */
public final class LogInterval {
    private static final long INTERVAL = 1_000_000_000L;

    private long loggedAt = System.nanoTime() - INTERVAL;

    /** Returns whether the line may be logged now; if so, it counts as logged. */
    public boolean tryLog() {
        long now = System.nanoTime();
        boolean allowed = now - loggedAt >= INTERVAL;
        loggedAt = allowed ? now : loggedAt;
        return allowed;
    }
}
