package thistlefall.discovery;

import java.util.SplittableRandom;

/**
 * The timeouts of a watch on the server list: how long an open watch may be silent, how long a new watch may take to
 * deliver its first message, and the delay before the next watch is opened. All of them follow from two timings of the
 * source: its heartbeat interval and the time within which every change must be known, also when a watch falls silent
 * without an error. {@link #maxRecoveryTime} is the sum of these timeouts. The constructor rejects timings with which
 * the sum does not fit when {@value #TOLERATED_FAILURES} reconnects fail on the way.
 *
 * <p>Each timeout has a random part, so that watches that broke at the same moment on many nodes do not reconnect at
 * the same moment. Times are nanoseconds. Not thread-safe.
 */
public final class WatchTimeouts {
    /**
     * Number of reconnects in a row that may fail, each after its full timeout, without recovery taking longer than
     * {@code maxStaleness}.
     */
    static final int TOLERATED_FAILURES = 2;

    /**
     * The timings that the source guarantees, in nanoseconds.
     *
     * @param heartbeatInterval the longest time between two messages of the source
     * @param maxStaleness the longest time between the moment a watch falls silent and the moment its missed changes
     *     must be known
     */
    public record SourceTimings(long heartbeatInterval, long maxStaleness) {}

    private final SourceTimings timings;
    private final SplittableRandom random;
    private int consecutiveFailures;

    /**
     * Creates the timeouts for a source; {@code seed} determines their random part.
     *
     * @throws IllegalArgumentException if a silent watch could not be detected and replaced in time
     */
    public WatchTimeouts(SourceTimings timings, long seed) {
        this.timings = timings;
        random = new SplittableRandom(seed);
        if (maxRecoveryTime(TOLERATED_FAILURES) > timings.maxStaleness()) {
            throw new IllegalArgumentException("a watch with a heartbeat each "
                    + timings.heartbeatInterval() / 1_000_000 + " ms can't be detected as broken and replaced within "
                    + timings.maxStaleness() / 1_000_000 + " ms");
        }
    }

    /** Returns how long an open watch may be silent: 1.25 to 1.5 heartbeat intervals, as a heartbeat may be late. */
    public long idleTimeout() {
        return randomBetween(timings.heartbeatInterval() * 5 / 4, maxIdleTimeout());
    }

    private long maxIdleTimeout() {
        return timings.heartbeatInterval() * 3 / 2;
    }

    /**
     * Returns how long a new watch may take to connect and deliver its first message; a live source responds at once.
     */
    public long responseTimeout() {
        return randomBetween(maxResponseTimeout() / 2, maxResponseTimeout());
    }

    private long maxResponseTimeout() {
        return timings.maxStaleness() / 10;
    }

    /** Records that the watch delivered a message. */
    public void messageReceived() {
        consecutiveFailures = 0;
    }

    /** Returns how many watches in a row ended without a message. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /**
     * Records that a watch has ended and returns the delay before the next one is opened.
     *
     * @param receivedMessage whether the watch had delivered a message; its end may then precede a change of the list,
     *     so the delay is short
     */
    public long reconnectDelay(boolean receivedMessage) {
        consecutiveFailures += receivedMessage ? 0 : 1;
        long maxDelay = maxReconnectDelay(consecutiveFailures);
        return randomBetween(maxDelay / 8, maxDelay);
    }

    private long maxReconnectDelay(int failedWatches) {
        return timings.heartbeatInterval() / 40 << Math.min(failedWatches, 3);
    }

    /**
     * Returns the longest time from the moment a watch falls silent to the first message of a working one, with the
     * given number of watches in between that delivered no message.
     */
    public long maxRecoveryTime(int failedWatches) {
        // The watch may have fallen silent right after its last message, so the whole idle timeout counts.
        long total = maxIdleTimeout() + maxReconnectDelay(0) + maxResponseTimeout();
        for (int i = 1; i <= failedWatches; i++) {
            total += maxReconnectDelay(i) + maxResponseTimeout();
        }
        return total;
    }

    private long randomBetween(long min, long max) {
        return min + (long) ((max - min) * random.nextDouble());
    }
}
