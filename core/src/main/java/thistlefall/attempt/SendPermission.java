package thistlefall.attempt;

/**
 * Until when an attempt may be sent, asked by its host directly before the first byte. Whatever else changes between
 * the decision for an attempt and that byte ends the attempt itself. Times are nanoseconds of the host's monotonic
 * clock.
 */
public final class SendPermission {
    private final long latestSendTime;

    /** A permission that holds until a time. */
    public SendPermission(long latestSendTime) {
        this.latestSendTime = latestSendTime;
    }

    /** Returns whether the attempt may be sent now. */
    public boolean holdsAt(long now) {
        return now - latestSendTime < 0;
    }

    /** Returns how long the permission still lasts at most; not positive if the time has passed. */
    public long remaining(long now) {
        return latestSendTime - now;
    }
}
