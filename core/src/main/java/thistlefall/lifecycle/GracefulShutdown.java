package thistlefall.lifecycle;

/**
 * The phases of a node that shuts down. In the first phase it still accepts everything, because clients don't know
 * about the shutdown yet, and its responses announce that their connections close. Then it stops listening, ends each
 * connection once its responses are complete, and refuses new requests. Finally it gives the clients time to close.
 *
 * <p>Times are nanoseconds of one clock. Not thread-safe.
 */
public final class GracefulShutdown {
    /** The phase of a shutdown; it only moves forward. */
    public enum Phase {
        /** The node accepts and answers every request. */
        ACCEPTING,
        /** The node accepts nothing new and completes the accepted requests. */
        DRAIN,
        /** All responses are complete, or the time for them is over; the clients close. */
        LINGER,
        /** The process may exit. */
        TERMINATED
    }

    /**
     * The durations of the phases, nanoseconds.
     *
     * @param minAcceptTime the shortest time for which new connections are accepted after the shutdown starts
     * @param quietPeriod after that, the node keeps listening until no connection has arrived for this time
     * @param maxAcceptTime the longest time for which it keeps listening, unless the node itself has just stalled
     * @param drain the longest time for completing the accepted requests
     * @param linger the longest time for which clients may take to close
     */
    public record ShutdownTimeouts(long minAcceptTime, long quietPeriod, long maxAcceptTime, long drain, long linger) {
        /** Returns the longest duration of a shutdown. */
        public long total() {
            return Math.max(minAcceptTime, maxAcceptTime) + drain + linger;
        }
    }

    /** A longer time between two calls of {@link #advance} means that the node has stalled. */
    private static final long STALL_THRESHOLD = 30_000_000L;

    private final ShutdownTimeouts timeouts;
    private final long startedAt;
    private Phase phase = Phase.ACCEPTING;
    private long phaseStartedAt;
    private long lastAdvancedAt;
    private long lastStallAt;

    /** Starts a shutdown now. */
    public GracefulShutdown(ShutdownTimeouts timeouts, long now) {
        this.timeouts = timeouts;
        startedAt = now;
        phaseStartedAt = now;
        lastAdvancedAt = now;
        lastStallAt = now;
    }

    /**
     * Advances to the current phase and returns it. Must be called every few milliseconds, and the sockets must be
     * polled between two calls.
     *
     * @param lastAcceptedAt when the last connection was accepted
     * @param outstandingResponses responses that are not complete
     * @param openConnections client connections that are still open
     */
    public Phase advance(long now, long lastAcceptedAt, int outstandingResponses, int openConnections) {
        if (now - lastAdvancedAt > STALL_THRESHOLD) {
            // The node has stalled. Connections that arrived meanwhile are not accepted yet, so their absence proves
            // nothing.
            lastStallAt = now;
        }
        lastAdvancedAt = now;
        if (phase == Phase.ACCEPTING && acceptingFinished(now, lastAcceptedAt)) {
            enterPhase(Phase.DRAIN, now);
        } else if (phase == Phase.DRAIN && (outstandingResponses == 0 || now - phaseStartedAt >= timeouts.drain())) {
            enterPhase(Phase.LINGER, now);
        } else if (phase == Phase.LINGER && (openConnections == 0 || now - phaseStartedAt >= timeouts.linger())) {
            enterPhase(Phase.TERMINATED, now);
        }
        return phase;
    }

    private boolean acceptingFinished(long now, long lastAcceptedAt) {
        long elapsed = now - startedAt;
        boolean recentlyStalled = now - lastStallAt < timeouts.quietPeriod();
        return !recentlyStalled
                && (elapsed >= timeouts.maxAcceptTime()
                        || elapsed >= timeouts.minAcceptTime() && now - lastAcceptedAt >= timeouts.quietPeriod());
    }

    private void enterPhase(Phase newPhase, long now) {
        phase = newPhase;
        phaseStartedAt = now;
    }
}
