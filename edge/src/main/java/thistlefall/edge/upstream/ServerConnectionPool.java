package thistlefall.edge.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.http.ResponseDecoder;

/**
 * The connections to one server, used on one event loop only. Of the connections that have been idle for the minimum
 * idle time, the one used last is reused first, so that under low load the others reach the idle timeout and close. A
 * connection that is established after the request that wanted it has timed out is kept for a later request.
 */
public final class ServerConnectionPool {
    /**
     * Receives the result of {@code acquire}: exactly one method is called, possibly before {@code acquire} returns.
     */
    public interface AcquireCallback {
        /** A connection is available; it was open when last checked. */
        void acquired(ServerConnection connection);

        /** No connection is available. */
        void unavailable(EndReason reason);
    }

    /**
     * The limits of a pool. Times are in nanoseconds.
     *
     * @param maxConnections maximum connections of this pool, including those being established
     * @param maxTotalConnections maximum connections of all pools that share a limiter
     * @param connectTimeout how long a request waits for a new connection
     * @param lateConnectTimeout when an attempt to connect ends, counted from its start; if this is longer than {@code
     *     connectTimeout}, a connection that is too late for its request is kept for a later one
     * @param minIdleTime how long a connection rests after a response before its next request, so that bytes that
     *     belong to no request arrive in the meantime and are noticed
     * @param idleTimeout an unused connection is closed after this time
     * @param sourceAddress the address to connect from; null for any
     */
    public record PoolLimits(
            int maxConnections,
            int maxTotalConnections,
            long connectTimeout,
            long lateConnectTimeout,
            long minIdleTime,
            long idleTimeout,
            String sourceAddress) {
        /** Limits of a pool that shares no limiter, keeps no late connection and has no minimum idle time. */
        public PoolLimits(int maxConnections, long connectTimeout, long idleTimeout, String sourceAddress) {
            this(maxConnections, maxConnections, connectTimeout, connectTimeout, 0, idleTimeout, sourceAddress);
        }
    }

    private final EventLoop loop;
    private final SocketAddress address;
    private final PoolLimits limits;
    private final HttpLimits httpLimits;
    private final ConnectionLimiter limiter;
    /** The connection that has been idle longest is first. */
    private final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();

    private final Set<ServerConnection> openConnections = new HashSet<>();
    private final Set<PendingConnection> pendingConnections = new HashSet<>();
    private boolean draining;
    private boolean idleCheckScheduled;

    /** An empty pool with a limiter of its own. */
    public ServerConnectionPool(EventLoop loop, SocketAddress address, PoolLimits limits, HttpLimits httpLimits) {
        this(loop, address, limits, httpLimits, new ConnectionLimiter(limits.maxTotalConnections()));
    }

    /** An empty pool that shares a limiter with other pools. */
    public ServerConnectionPool(
            EventLoop loop,
            SocketAddress address,
            PoolLimits limits,
            HttpLimits httpLimits,
            ConnectionLimiter limiter) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.httpLimits = httpLimits;
        this.limiter = limiter;
    }

    /** The address of the server. */
    public SocketAddress address() {
        return address;
    }

    /** The number of connections that are open or being established. */
    public int connectionCount() {
        return openConnections.size() + pendingConnections.size();
    }

    /** The number of open connections without an exchange. */
    int idleCount() {
        return idleConnections.size();
    }

    /** Acquires a connection for one exchange. */
    public void acquire(ResponseHandler handler, boolean headRequest, AcquireCallback callback) {
        ServerConnection connection = findReusableConnection();
        if (connection != null) {
            idleConnections.remove(connection);
            limiter.setIdle(connection, false);
            connection.beginExchange(handler, headRequest);
            callback.acquired(connection);
        } else if (!draining && makeRoom() && limiter.tryAcquire()) {
            connect(handler, headRequest, callback);
        } else {
            callback.unavailable(EndReason.NO_PLACE);
        }
    }

    /**
     * Acquires a connection on which the server answers a probe first; see {@link ConnectionConfirmation}. The caller
     * cancels the confirmation when it needs the connection no more.
     */
    public ConnectionConfirmation acquireConfirmed(
            String probePath, ResponseHandler handler, boolean headRequest, AcquireCallback callback) {
        var confirmation = new ConnectionConfirmation(loop, this, probePath, handler, headRequest, callback);
        confirmation.start();
        return confirmation;
    }

    /** Acquires a connection on which the server has responded before; returns false if none is idle. */
    public boolean tryAcquireUsed(ResponseHandler handler, boolean headRequest, AcquireCallback callback) {
        ServerConnection connection = findReusableConnection();
        if (connection == null || !connection.hasServerSent() || !takeIdle(connection)) {
            return false;
        }
        connection.beginExchange(handler, headRequest);
        callback.acquired(connection);
        return true;
    }

    PoolLimits limits() {
        return limits;
    }

    /** Takes an idle connection out of the pool, for one caller; returns false if it is not idle any more. */
    boolean takeIdle(ServerConnection connection) {
        if (!idleConnections.remove(connection)) {
            return false;
        }
        limiter.setIdle(connection, false);
        return true;
    }

    /** Begins an exchange on a connection that was taken before; closes it and returns false if it is not usable. */
    boolean beginReservedExchange(ServerConnection connection, ResponseHandler handler, boolean headRequest) {
        if (draining || !connection.isUsable()) {
            discard(connection);
            return false;
        }
        connection.beginExchange(handler, headRequest);
        return true;
    }

    /**
     * Makes sure that one more connection is allowed in this pool. At the limit, the connection idle for longest makes
     * room, as it has not been idle long enough to be used. Returns false if all are in use.
     */
    private boolean makeRoom() {
        if (connectionCount() < limits.maxConnections()) {
            return true;
        }
        ServerConnection longestIdle = idleConnections.pollFirst();
        if (longestIdle == null) {
            return false;
        }
        discard(longestIdle);
        return true;
    }

    /**
     * The most recently used connection that has been idle for the minimum time and on which nothing has arrived; null
     * if there is none. The time is checked before the socket, so that what a server sends within the minimum idle time
     * is found in the socket even if the event loop has not run since the response.
     */
    private ServerConnection findReusableConnection() {
        long now = System.nanoTime();
        for (Iterator<ServerConnection> newestFirst = idleConnections.descendingIterator(); newestFirst.hasNext(); ) {
            ServerConnection connection = newestFirst.next();
            if (now - connection.idleSinceNanos < limits.minIdleTime()) {
                continue;
            }
            if (connection.isUsable()) {
                return connection;
            }
            newestFirst.remove();
            discard(connection);
        }
        return null;
    }

    /** Closes an idle connection, which from now on counts towards no limit. */
    private void discard(ServerConnection connection) {
        connection.channel().close();
        connectionClosed(connection);
    }

    private void connect(ResponseHandler handler, boolean headRequest, AcquireCallback callback) {
        var decoder = new ResponseDecoder(httpLimits);
        long maxConnectTimeout = Math.max(limits.connectTimeout(), limits.lateConnectTimeout());
        var bootstrap = Transports.bootstrap(loop, address, maxConnectTimeout / 1_000_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(decoder);
                    }
                });
        InetSocketAddress localAddress =
                limits.sourceAddress() == null ? null : new InetSocketAddress(limits.sourceAddress(), 0);
        var pendingConnection = new PendingConnection(handler, headRequest, callback, decoder);
        Transports.connect(bootstrap, loop, address, localAddress, pendingConnection::completed);
    }

    /** A connection being established, and the request that waits for it. */
    private final class PendingConnection {
        private final ResponseHandler handler;
        private final boolean headRequest;
        private final ResponseDecoder decoder;
        private final Future<?> timeoutTask;
        private AcquireCallback callback;

        PendingConnection(
                ResponseHandler handler, boolean headRequest, AcquireCallback callback, ResponseDecoder decoder) {
            this.handler = handler;
            this.headRequest = headRequest;
            this.callback = callback;
            this.decoder = decoder;
            pendingConnections.add(this);
            timeoutTask = limits.lateConnectTimeout() > limits.connectTimeout()
                    ? loop.schedule(
                            () -> notifyUnavailable(EndReason.CONNECT_OVERDUE),
                            limits.connectTimeout(),
                            TimeUnit.NANOSECONDS)
                    : null;
        }

        private void notifyUnavailable(EndReason reason) {
            if (callback != null) {
                AcquireCallback waitingCallback = callback;
                callback = null;
                waitingCallback.unavailable(reason);
            }
        }

        void completed(ChannelFuture connectFuture) {
            pendingConnections.remove(this);
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            if (!connectFuture.isSuccess()) {
                limiter.release(null);
                notifyUnavailable(
                        connectFuture.cause() instanceof ConnectTimeoutException
                                ? EndReason.CONNECT_OVERDUE
                                : EndReason.REFUSED);
                return;
            }
            Channel channel = connectFuture.channel();
            var connection = new ServerConnection(ServerConnectionPool.this, channel, decoder);
            openConnections.add(connection);
            channel.pipeline().addLast(connection);
            if (!channel.isActive()) {
                connectionClosed(connection);
                notifyUnavailable(EndReason.REFUSED);
            } else if (draining) {
                // The drain began while the connection was being established.
                channel.close();
                notifyUnavailable(EndReason.NO_PLACE);
            } else if (callback == null) {
                release(connection);
            } else {
                connection.beginExchange(handler, headRequest);
                callback.acquired(connection);
            }
        }
    }

    void release(ServerConnection connection) {
        if (draining || !connection.channel().isActive()) {
            connection.channel().close();
            return;
        }
        connection.idleSinceNanos = System.nanoTime();
        idleConnections.addLast(connection);
        limiter.setIdle(connection, true);
        scheduleIdleCheck(limits.idleTimeout());
    }

    /** Keeps one timer for the pool: a timer for each release would put thousands of idle tasks on the event loop. */
    private void scheduleIdleCheck(long delay) {
        if (!idleCheckScheduled) {
            idleCheckScheduled = true;
            loop.schedule(this::closeIdleConnections, delay, TimeUnit.NANOSECONDS);
        }
    }

    /** Closes connections past the idle timeout; the one idle longest is first in the queue. */
    private void closeIdleConnections() {
        idleCheckScheduled = false;
        long now = System.nanoTime();
        for (ServerConnection longestIdle = idleConnections.peekFirst();
                longestIdle != null;
                longestIdle = idleConnections.peekFirst()) {
            long remaining = limits.idleTimeout() - (now - longestIdle.idleSinceNanos);
            if (remaining > 0) {
                scheduleIdleCheck(remaining);
                return;
            }
            idleConnections.pollFirst();
            longestIdle.channel().close();
        }
    }

    /** Removes a closed connection; may be called more than once for the same connection. */
    void connectionClosed(ServerConnection connection) {
        if (openConnections.remove(connection)) {
            limiter.release(connection);
        }
        idleConnections.remove(connection);
    }

    /** Closes all idle connections, and those in use once their exchange has ended. */
    public void drain() {
        draining = true;
        for (ServerConnection connection = idleConnections.pollFirst();
                connection != null;
                connection = idleConnections.pollFirst()) {
            connection.channel().close();
        }
    }

    /**
     * Drains for good, because the server that this pool connects to is not the one that its id names any more.
     * Requests that wait for a connection are told at once that there is none.
     */
    public void retire() {
        drain();
        List.copyOf(pendingConnections).forEach(pending -> pending.notifyUnavailable(EndReason.NO_PLACE));
    }

    /** Ends a drain after the server has come back. */
    public void resume() {
        draining = false;
    }

    /** Closes all connections; what has not reached the server is discarded. */
    public void close() {
        drain();
        Set.copyOf(openConnections).forEach(connection -> Transports.reset(connection.channel()));
    }
}
