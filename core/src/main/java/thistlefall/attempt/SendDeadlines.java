package thistlefall.attempt;

import thistlefall.Ports.Rules;
import thistlefall.clock.MonotonicWallClock;

/**
 * Decides until when an attempt may be sent. The decision for an attempt holds at the moment at which it is taken; the
 * attempt may then wait for a connection or for its socket, and what the decision relied on may end meanwhile. Times
 * and durations are nanoseconds of the decision module's clock.
 */
public final class SendDeadlines {
    private SendDeadlines() {}

    /**
     * Returns until when servers remember a key that they first got at {@code firstSentAt}. While the module's clock is
     * corrected it may run slower than theirs.
     */
    public static long keyWindowEnd(long firstSentAt, long keyWindow) {
        return firstSentAt + MonotonicWallClock.minimumElapsed(keyWindow);
    }

    /**
     * Returns the latest time to send a repeat whose key is remembered until {@code windowEnd}: the middle of the time
     * that is left, so that another server can be tried within the window if no connection to the first comes up.
     */
    public static long forRepeatWithinKeyWindow(long now, long windowEnd) {
        return now + Math.max(0, windowEnd - now) / 2;
    }

    /**
     * Returns the latest time to send a request to a cold server. Its share of the requests is spread over time. Waits
     * for connections may concentrate them: at most, those of {@code overloadDuration} plus the longest wait arrive
     * within {@code overloadDuration}. That is no overload as long as the quotient is below the multiple.
     */
    public static long forColdServer(long now, Rules rules) {
        return now + (long) (Math.max(0, rules.overloadMultiple() - 1) * rules.overloadDuration());
    }
}
