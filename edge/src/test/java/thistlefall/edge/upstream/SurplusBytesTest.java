package thistlefall.edge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.http.MessageHead;

/**
 * Tests over real sockets that bytes behind a response never become part of the next response. The server's bytes are
 * sent by the test itself, and the event loop is blocked where they must arrive unread.
 */
class SurplusBytesTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MIN_IDLE_NANOS = 20_000_000L;
    private static final long TIMEOUT_SECONDS = 20;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    SurplusBytesTest() throws IOException {
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    @AfterEach
    void closeServerAndLoop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ServerConnectionPool createPool(int maxConnections, long minIdleTime) {
        var limits = new ServerConnectionPool.PoolLimits(
                maxConnections,
                maxConnections,
                NANOS_PER_SECOND,
                NANOS_PER_SECOND,
                minIdleTime,
                60 * NANOS_PER_SECOND,
                null);
        return new ServerConnectionPool(loop, server.getLocalSocketAddress(), limits, HttpLimits.DEFAULT);
    }

    /** One exchange: sends a request as soon as it has a connection, and records the response's body. */
    private static final class Exchange implements ServerConnectionPool.AcquireCallback, ResponseHandler {
        final CompletableFuture<ServerConnection> connection = new CompletableFuture<>();
        final CompletableFuture<String> response = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();

        @Override
        public void acquired(ServerConnection acquiredConnection) {
            ByteBuf request =
                    ByteBufUtil.writeAscii(acquiredConnection.channel().alloc(), REQUEST);
            acquiredConnection
                    .channel()
                    .writeAndFlush(request)
                    .addListener(written -> acquiredConnection.requestWritten());
            connection.complete(acquiredConnection);
        }

        @Override
        public void unavailable(EndReason endReason) {
            connection.completeExceptionally(new IOException(endReason.toString()));
        }

        @Override
        public void headReceived(MessageHead.ResponseHead head) {
            assertEquals(200, head.status());
        }

        @Override
        public void bodyReceived(ByteBuf piece) {
            body.append(piece.toString(StandardCharsets.US_ASCII));
            piece.release();
        }

        @Override
        public void responseComplete(HttpFields trailers) {
            response.complete(body.toString());
        }

        @Override
        public void exchangeFailed(EndReason endReason) {
            response.completeExceptionally(new IOException(endReason.toString()));
        }

        @Override
        public void writabilityChanged(boolean writable) {
            // The request fits into the socket's buffer.
        }

        String channelId() throws InterruptedException, ExecutionException, TimeoutException {
            return connection
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .channel()
                    .id()
                    .asLongText();
        }
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private Exchange begin(ServerConnectionPool pool) {
        var exchange = new Exchange();
        loop.execute(() -> pool.acquire(exchange, false, exchange));
        return exchange;
    }

    private static void readRequest(Socket socket) throws IOException {
        assertEquals(
                REQUEST, new String(socket.getInputStream().readNBytes(REQUEST.length()), StandardCharsets.US_ASCII));
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static boolean isClosedByPeer(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException reset) {
            return !(reset instanceof SocketTimeoutException);
        }
    }

    /** Completes a first exchange of the pool and returns the server's end of its connection, which is idle now. */
    private Socket completeFirstExchange(Exchange exchange) throws Exception {
        Socket socket = server.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        readRequest(socket);
        write(socket, response("first"));
        assertEquals("first", exchange.response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return socket;
    }

    /** Serves the second exchange on a new connection and checks that it gets the response meant for it. */
    private void serveOnNewConnection(Exchange second, Exchange first) throws Exception {
        assertNotEquals(first.channelId(), second.channelId(), "the connection with surplus bytes is not used again");
        try (Socket newSocket = server.accept()) {
            readRequest(newSocket);
            write(newSocket, response("second"));
            assertEquals("second", second.response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against a second response that is served to the next request: it arrived while the event loop was stalled,
     * and the minimum idle time passed before the loop read the socket.
     */
    @Test
    void lateResponseThatArrivedDuringAStallIsNotServed() throws Exception {
        ServerConnectionPool pool = createPool(4, MIN_IDLE_NANOS);
        Exchange first = begin(pool);
        try (Socket socket = completeFirstExchange(first)) {
            var second = new Exchange();
            var blocked = new CompletableFuture<Void>();
            var surplusSent = new CompletableFuture<Void>();
            loop.execute(() -> {
                blocked.complete(null);
                surplusSent.join();
                // The connection has now been idle for the minimum time, and its socket holds unread bytes.
                pool.acquire(second, false, second);
            });
            blocked.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            long blockedSince = System.nanoTime();
            write(socket, response("first"));
            while (System.nanoTime() - blockedSince < 2 * MIN_IDLE_NANOS) {
                Thread.onSpinWait();
            }
            surplusSent.complete(null);
            serveOnNewConnection(second, first);
            assertTrue(isClosedByPeer(socket), "the connection with the unread bytes is closed");
        }
    }

    /**
     * Guards against a second response in pieces: the first piece ends within its head, so that the decoder has nothing
     * to report yet, and the rest would become the response to the next request.
     */
    @Test
    void beginningOfAnUnrequestedResponseClosesTheConnection() throws Exception {
        ServerConnectionPool pool = createPool(4, MIN_IDLE_NANOS);
        Exchange first = begin(pool);
        try (Socket socket = completeFirstExchange(first)) {
            write(socket, "HTTP/1.1 2");
            assertTrue(isClosedByPeer(socket), "the connection is closed at the first piece");
            serveOnNewConnection(begin(pool), first);
        }
    }
}
