package thistlefall.attempt;

/**
 * Whether an attempt may still be sent, asked by its host directly before the first byte. Everything that can change
 * between the decision for an attempt and that byte ends the permission: the time that the decision module has stated,
 * or a withdrawal, because the server drains, is gone or was replaced, or because nobody waits for the response any
 * more. Times are nanoseconds of the host's monotonic clock. Not thread-safe.
 */
public final class SendPermission {
    private final long latestSendTime;
    private boolean withdrawn;

    /** A permission that holds until a time. */
    public SendPermission(long latestSendTime) {
        this.latestSendTime = latestSendTime;
    }

    /** Ends the permission for good. */
    public void withdraw() {
        withdrawn = true;
    }

    /** Returns whether the attempt may be sent now. */
    public boolean holdsAt(long now) {
        return !withdrawn && now - latestSendTime < 0;
    }

    /** Returns how long the permission still lasts at most; not positive if the time has passed. */
    public long remaining(long now) {
        return latestSendTime - now;
    }
}
