package thistlefall.lifecycle;

/**
 * Decides how many client connections a node holds. Those up to the maximum are served. A connection beyond that has
 * been accepted by the system, and its client may have sent a request, so it is owed an answer: it is accepted too, and
 * its request is refused. A reserve is kept for such connections and for those that are closing. Beyond the reserve
 * connections are better not accepted: they wait in the backlog until another one has closed. Immutable.
 *
 * @param maxServed the number of connections that are served
 * @param reserve the number of connections beyond those
 */
public record ConnectionLimits(int maxServed, int reserve) {
    private static final int MIN_RESERVE = 4;
    private static final int RESERVE_DIVISOR = 12;
    /** How long connections may wait to be accepted before one with an incomplete request gives way; nanoseconds. */
    private static final long MAX_FULL_TIME = 100_000_000L;
    /** How long a request is always given to be complete, from its first byte on; nanoseconds. */
    private static final long MIN_RECEIVE_TIME = 100_000_000L;

    /** Returns the limits with the usual reserve. */
    public static ConnectionLimits of(int maxServed) {
        return new ConnectionLimits(maxServed, Math.max(MIN_RESERVE, maxServed / RESERVE_DIVISOR));
    }

    /** Returns whether another connection is served; otherwise one at rest should end, or its request is refused. */
    public boolean mayServe(int open) {
        return open < maxServed;
    }

    /**
     * Returns whether a connection with an incomplete request gives way to those that wait to be accepted; nanoseconds.
     *
     * @param fullTime for how long no other connection could be accepted
     * @param incompleteTime for how long the request has been incomplete
     */
    public static boolean mustGiveWay(long fullTime, long incompleteTime) {
        return fullTime > MAX_FULL_TIME && incompleteTime > MIN_RECEIVE_TIME;
    }

    /**
     * Returns how many connections may be accepted now.
     *
     * @param open the connections that may still carry requests, refused ones included
     * @param closing the connections that only wait for their clients to close
     */
    public int acceptCapacity(int open, int closing) {
        return Math.max(0, maxServed + reserve - open - closing);
    }
}
