package thistlefall.lease;

/** A request that waits for units in a {@link LeaseWaitQueue}. Times are nanoseconds. */
public interface LeaseWaiter {
    /** Returns the number of units that the request needs. */
    double units();

    /** Returns the time until which the request can wait; a time in the past if it no longer waits. */
    long waitDeadline();

    /**
     * Called when the wait has ended, with or without the units.
     *
     * @param grant the units that it got; null if it did not get them in time
     * @param estimatedWait the estimated time until it could be served, nanoseconds
     */
    void waitEnded(CeilingLease.Grant grant, long estimatedWait);
}
