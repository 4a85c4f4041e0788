package thistlefall.edge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.http.MessageHead;

/** Tests the connection pool over real sockets. */
class ServerConnectionPoolTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    ServerConnectionPoolTest() throws IOException {}

    @AfterEach
    void closeServerAndLoop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Acquires a connection and records the result; sends no request. */
    private static final class RecordingCallback implements ServerConnectionPool.AcquireCallback, ResponseHandler {
        volatile ServerConnection connection;
        volatile EndReason failureReason;

        @Override
        public void acquired(ServerConnection acquiredConnection) {
            connection = acquiredConnection;
        }

        @Override
        public void unavailable(EndReason endReason) {
            failureReason = endReason;
        }

        boolean isDone() {
            return connection != null || failureReason != null;
        }

        String channelId() {
            return connection.channel().id().asLongText();
        }

        @Override
        public void headReceived(MessageHead.ResponseHead head) {
            throw new AssertionError("no request was sent");
        }

        @Override
        public void bodyReceived(ByteBuf piece) {
            piece.release();
        }

        @Override
        public void responseComplete(HttpFields trailers) {
            throw new AssertionError("no request was sent");
        }

        @Override
        public void exchangeFailed(EndReason endReason) {
            failureReason = endReason;
        }

        @Override
        public void writabilityChanged(boolean writable) {
            // This test writes nothing.
        }
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + 20 * NANOS_PER_SECOND;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition was not met within 20 s");
            LockSupport.parkNanos(1_000_000L);
        }
    }

    private ServerConnectionPool createPool(ServerConnectionPool.PoolLimits limits, ConnectionLimiter limiter) {
        return new ServerConnectionPool(loop, server.getLocalSocketAddress(), limits, HttpLimits.DEFAULT, limiter);
    }

    private static ServerConnectionPool.PoolLimits createLimits(
            int maxConnections, long connectTimeout, long lateConnectTimeout, long minIdleTime) {
        return new ServerConnectionPool.PoolLimits(
                maxConnections,
                maxConnections,
                connectTimeout,
                lateConnectTimeout,
                minIdleTime,
                60 * NANOS_PER_SECOND,
                null);
    }

    private RecordingCallback acquire(ServerConnectionPool pool) {
        var callback = new RecordingCallback();
        loop.submit(() -> pool.acquire(callback, false, callback)).syncUninterruptibly();
        await(callback::isDone);
        return callback;
    }

    private void release(RecordingCallback callback) {
        loop.submit(() -> callback.connection.release()).syncUninterruptibly();
    }

    /** A connection that is released without a request must not be closed or leaked; the next request uses it. */
    @Test
    void releasedUnusedConnectionIsReused() {
        ServerConnectionPool pool =
                createPool(createLimits(4, NANOS_PER_SECOND, NANOS_PER_SECOND, 0), new ConnectionLimiter(4));
        RecordingCallback first = acquire(pool);
        release(first);
        assertEquals(first.channelId(), acquire(pool).channelId());
        assertNotEquals(first.channelId(), acquire(pool).channelId());
    }

    /**
     * A connection below the minimum idle time must not be used even at the limit, as a late second response may still
     * follow; it makes room for a new one, so that the request does not fail for want of a connection.
     */
    @Test
    void recentlyUsedConnectionMakesRoomForANewOneAtTheLimit() {
        ServerConnectionPool pool = createPool(
                createLimits(2, NANOS_PER_SECOND, NANOS_PER_SECOND, 3_600 * NANOS_PER_SECOND),
                new ConnectionLimiter(2));
        RecordingCallback first = acquire(pool);
        release(first);
        RecordingCallback second = acquire(pool);
        assertNotEquals(first.channelId(), second.channelId());
        RecordingCallback third = acquire(pool);
        assertNotEquals(first.channelId(), third.channelId());
        assertNotEquals(second.channelId(), third.channelId());
        await(() -> !first.connection.channel().isOpen());
        assertTrue(second.connection.channel().isOpen(), "a connection in use stays open");
        assertEquals(2, pool.connectionCount());
        assertEquals(EndReason.NO_PLACE, acquire(pool).failureReason);
    }

    /** Idle connections of one pool must not keep another pool from connecting; connections in use must stay open. */
    @Test
    void poolsWithOneLimiterCloseIdleConnectionsForEachOther() {
        var limiter = new ConnectionLimiter(2);
        ServerConnectionPool firstPool = createPool(createLimits(9, NANOS_PER_SECOND, NANOS_PER_SECOND, 0), limiter);
        ServerConnectionPool secondPool = createPool(createLimits(9, NANOS_PER_SECOND, NANOS_PER_SECOND, 0), limiter);
        RecordingCallback longestIdle = acquire(firstPool);
        RecordingCallback recentlyIdle = acquire(secondPool);
        release(longestIdle);
        release(recentlyIdle);
        RecordingCallback reused = acquire(firstPool);
        assertEquals(longestIdle.channelId(), reused.channelId(), "the idle connection of this pool is reused");
        assertNotEquals(
                recentlyIdle.channelId(),
                acquire(firstPool).channelId(),
                "the idle connection of the other pool was closed to make room");
        await(() -> !recentlyIdle.connection.channel().isOpen());
        assertEquals(EndReason.NO_PLACE, acquire(secondPool).failureReason, "all connections are in use");
        release(reused);
        assertNull(acquire(secondPool).failureReason);
    }

    /**
     * A connection that is established after its request has timed out must be kept, not leaked or closed. It comes
     * about here because the accept queue of the server is full.
     */
    @Test
    void connectionMadeAfterTheTimeoutIsKeptForTheNextRequest() throws IOException {
        try (ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queuedSockets = fillAcceptQueue(fullServer);
            var pool = new ServerConnectionPool(
                    loop,
                    fullServer.getLocalSocketAddress(),
                    createLimits(4, NANOS_PER_SECOND / 100, 20 * NANOS_PER_SECOND, 0),
                    HttpLimits.DEFAULT,
                    new ConnectionLimiter(4));
            RecordingCallback timedOut = acquire(pool);
            assertEquals(EndReason.CONNECT_OVERDUE, timedOut.failureReason);
            assertEquals(1, pool.connectionCount(), "the connection is still being established");
            // Accepting connections empties the accept queue; then the operating system repeats the SYN and connects.
            List<Socket> accepted = new ArrayList<>();
            fullServer.setSoTimeout(20_000);
            for (int i = 0; i < queuedSockets.size() + 1; i++) {
                accepted.add(fullServer.accept());
            }
            await(() -> pool.idleCount() == 1);
            assertNull(timedOut.connection, "the callback that timed out is not called again");
            assertNull(acquire(pool).failureReason);
            assertEquals(1, pool.connectionCount(), "the late connection was reused");
            for (Socket socket : queuedSockets) {
                socket.close();
            }
            for (Socket socket : accepted) {
                socket.close();
            }
        }
    }

    /** Fills the accept queue of a listener, so that no further connection is established. */
    private static List<Socket> fillAcceptQueue(ServerSocket listener) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(listener.getLocalSocketAddress(), 200);
                sockets.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return sockets;
            }
        }
    }
}
