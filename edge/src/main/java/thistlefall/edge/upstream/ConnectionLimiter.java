package thistlefall.edge.upstream;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A limit on connections that several pools share, so that many servers together don't use up the file descriptors
 * that clients, the counter and the server list need. At the limit, the connection that has been idle longest, of
 * whichever pool, is closed to make room for a new one. Used on one event loop only.
 */
public final class ConnectionLimiter {
    private final int maxConnections;
    private final Set<ServerConnection> idleConnections = new LinkedHashSet<>();
    private int acquiredCount;

    /** A limiter that allows this many connections, none of them open yet. */
    public ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Connections counted against the limit, including those still being established or closed. */
    public int acquiredCount() {
        return acquiredCount;
    }

    /** Counts one more connection; false if the limit is reached and no connection is idle. */
    boolean tryAcquire() {
        if (acquiredCount >= maxConnections && !closeLongestIdle()) {
            return false;
        }
        acquiredCount++;
        return true;
    }

    private boolean closeLongestIdle() {
        Iterator<ServerConnection> longestIdleFirst = idleConnections.iterator();
        if (!longestIdleFirst.hasNext()) {
            return false;
        }
        ServerConnection evicted = longestIdleFirst.next();
        longestIdleFirst.remove();
        evicted.channel().close();
        return true;
    }

    /** Counts one connection less; the argument is null if the connection was never established. */
    void release(ServerConnection connection) {
        idleConnections.remove(connection);
        acquiredCount--;
    }

    void setIdle(ServerConnection connection, boolean isIdle) {
        if (isIdle) {
            idleConnections.add(connection);
        } else {
            idleConnections.remove(connection);
        }
    }
}
