package thistlefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistlefall.standin.platform.PlatformAppServer;
import thistlefall.standin.platform.PlatformEnvironment;

/**
 * Hundreds of clients that make a node hold as much as they can, beside a client that sends one request at a time. The
 * node is a process with the options of the deployment, so that its memory is as scarce as there.
 */
class ClientMemoryTest {
    private static final int USUAL_REQUESTS = 12;
    /** The time of a usual request, and half a second and 50 ms beyond which it counts as lost. */
    private static final int ANSWER_TIMEOUT_MS = 3_550;

    /** What the configuration of the test allows the process. */
    private static final long MEMORY_LIMIT_BYTES = 128L << 20;

    /** At its limit of connections a node may close one that is idle, or a new one before it has read anything. */
    private static final int MAX_CONNECTIONS_FOR_A_REQUEST = 2_000;

    /** As many fields as a head may have, with those that a request needs. */
    private static final String SHORT_FIELDS = "a: b\r\n".repeat(55);

    private static final String LONG_RESPONSE_MARK = "long";
    private static final byte[] LONG_RESPONSE = new byte[60_000];

    @TempDir
    Path folder;

    /** What each of the other clients sends, and how it behaves. */
    enum Load {
        SMALL_BODIES(
                300, payment("Content-Length: 4000\r\n\r\n" + "x".repeat(4_000)).repeat(200)),
        SMALL_BODIES_OF_MANY_CLIENTS(
                600, payment("Content-Length: 4000\r\n\r\n" + "x".repeat(4_000)).repeat(200)),
        LONG_BODIES(
                300,
                payment("Content-Length: 65536\r\n\r\n" + "x".repeat(65_536)).repeat(10)),
        BODIES_IN_PIECES(
                300,
                payment("Transfer-Encoding: chunked\r\n\r\n" + "2\r\nxx\r\n".repeat(500) + "0\r\n\r\n")
                        .repeat(20)),
        LONG_HEADS(
                300,
                payment("X-Long: " + "x".repeat(7_000) + "\r\nContent-Length: 2\r\n\r\n{}")
                        .repeat(100)),
        UNFINISHED_HEADS(500, lookup("", "X-Tariff: none\r\n").repeat(600) + payment("X-Long: ")),
        TINY_BODIES_BETWEEN_REFUSED_ONES(
                300,
                (payment("Content-Length: 2\r\n\r\n{}")
                                + lookup("?" + "x".repeat(7_000), "X-Tariff: none\r\n")
                                        .repeat(8))
                        .repeat(12)),
        UNREAD_RESPONSES(300, lookup("?" + LONG_RESPONSE_MARK, "").repeat(400)),
        UNREAD_REFUSALS(300, lookup("", "X-Tariff: none\r\n").repeat(4_000)),
        SEND_AND_LEAVE(
                300, payment("Content-Length: 4000\r\n\r\n" + "x".repeat(4_000)).repeat(200)),
        LONG_BODIES_WITHOUT_TIME_LEFT(
                250,
                payment("Content-Length: 60000\r\n\r\n" + "x".repeat(60_000))
                        .replace("X-Expires-In: 3.000", "X-Expires-In: 0.020")
                        .repeat(20)),
        STOPPED_IN_BODY(400, payment("Content-Length: 60000\r\n\r\n" + "x".repeat(30_000))),
        MANY_SHORT_FIELDS(
                250, payment(SHORT_FIELDS + "Content-Length: 2\r\n\r\n{}").repeat(100)),
        TOO_MANY_SHORT_FIELDS(250, payment(SHORT_FIELDS.repeat(10))),
        MIXED(
                500,
                STOPPED_IN_BODY.kinds[0],
                MANY_SHORT_FIELDS.kinds[0],
                TOO_MANY_SHORT_FIELDS.kinds[0],
                LONG_BODIES_WITHOUT_TIME_LEFT.kinds[0],
                UNFINISHED_HEADS.kinds[0]);

        private final int clients;
        /** What the clients send, each kind by as many of them. */
        private final String[] kinds;

        Load(int clients, String... kinds) {
            this.clients = clients;
            this.kinds = kinds;
        }

        boolean readsResponses() {
            return this != UNREAD_RESPONSES && this != UNREAD_REFUSALS;
        }

        boolean leaves() {
            return this == SEND_AND_LEAVE;
        }
    }

    private static String fields(String id, String customer) {
        return " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id + "\r\nX-Tariff: corridor\r\nX-Subscriber: "
                + customer + "\r\nX-Expires-In: 3.000\r\nX-Weight: units=1,spread=2,first=0\r\n";
    }

    private static String payment(String rest) {
        return "POST /payment" + fields("@ID@", "0000000000000008") + rest;
    }

    private static String lookup(String query, String furtherFields) {
        return "GET /lookup" + query + fields("@ID@", "0000000000000008") + furtherFields + "\r\n";
    }

    /** The clients of a load; each connects again when it is disconnected. */
    private static final class LoadClients implements AutoCloseable {
        private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        private final AtomicInteger requestNumber = new AtomicInteger();
        private final AtomicInteger connected = new AtomicInteger();
        private final AtomicInteger sent = new AtomicInteger();
        private final Bootstrap bootstrap;
        private volatile boolean stopped;

        LoadClients(Load load, InetSocketAddress node) {
            bootstrap = new Bootstrap()
                    .group(loops)
                    .channel(NioSocketChannel.class)
                    .remoteAddress(node)
                    .option(ChannelOption.AUTO_READ, load.readsResponses())
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new LoadHandler(load));
                        }
                    });
            for (int i = 0; i < load.clients; i++) {
                bootstrap.connect();
            }
        }

        private ByteBuf requests(Load load) {
            String kind = load.kinds[connected.get() % load.kinds.length];
            Matcher idMarks = Pattern.compile("@ID@").matcher(kind);
            String text = idMarks.replaceAll(mark -> String.format("%016x", requestNumber.incrementAndGet()));
            return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
        }

        private final class LoadHandler extends ChannelInboundHandlerAdapter {
            private final Load load;

            LoadHandler(Load load) {
                this.load = load;
            }

            @Override
            public void channelActive(ChannelHandlerContext context) {
                connected.incrementAndGet();
                var writeFuture = context.writeAndFlush(requests(load)).addListener(write -> {
                    if (write.isSuccess()) {
                        sent.incrementAndGet();
                    }
                });
                if (load.leaves()) {
                    writeFuture.addListener(ChannelFutureListener.CLOSE);
                }
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ReferenceCountUtil.release(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                if (!stopped) {
                    context.channel().eventLoop().schedule(() -> bootstrap.connect(), 50, TimeUnit.MILLISECONDS);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        }

        @Override
        public void close() {
            stopped = true;
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
        }
    }

    /** A client that sends one request at a time, on a new connection if the node has closed the last one. */
    private static final class UsualClient implements AutoCloseable {
        private final InetSocketAddress node;
        private Socket socket;
        private int requestNumber;

        UsualClient(InetSocketAddress node) throws IOException {
            this.node = node;
            connect();
        }

        private void connect() throws IOException {
            socket = new Socket(node.getAddress(), node.getPort());
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        }

        /** Sends a request until the node takes it; fails if the node then does not answer it in time. */
        String answer() throws IOException {
            for (int i = 0; i < MAX_CONNECTIONS_FOR_A_REQUEST; i++) {
                String response = answerOrClose();
                if (!response.isEmpty()) {
                    return response;
                }
                socket.close();
                connect();
            }
            throw new AssertionError("closed " + MAX_CONNECTIONS_FOR_A_REQUEST + " times without an answer");
        }

        /** Returns the head of the response; empty if the node closes the connection instead. */
        private String answerOrClose() throws IOException {
            var response = new StringBuilder();
            try {
                String id = String.format("f%015x", ++requestNumber);
                socket.getOutputStream()
                        .write(("GET /lookup" + fields(id, "0000000000000007") + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                while (response.indexOf("\r\n\r\n") < 0) {
                    int nextByte = socket.getInputStream().read();
                    if (nextByte < 0) {
                        return "";
                    }
                    response.append((char) nextByte);
                }
            } catch (SocketException e) {
                return "";
            }
            Matcher length = Pattern.compile("Content-Length: (\\d+)").matcher(response);
            assertTrue(length.find(), response.toString());
            socket.getInputStream().readNBytes(Integer.parseInt(length.group(1)));
            return response.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns the most memory that the process has held, as the system counts it. */
    private static long peakResidentBytes(Process process) throws IOException {
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB")
                .matcher(Files.readString(Path.of("/proc", Long.toString(process.pid()), "status")));
        assertTrue(peak.find());
        return Long.parseLong(peak.group(1)) * 1024;
    }

    private long loggedCount(String name) {
        Matcher count = Pattern.compile("ended: .*\\b" + name + "=(\\d+)").matcher(NodeProcess.readLog(folder));
        assertTrue(count.find(), () -> NodeProcess.readLog(folder));
        return Long.parseLong(count.group(1));
    }

    /**
     * Guards against an event loop that sleeps in its allocations because clients hold all memory: a usual client got
     * no answers; and against a process that is ended because it holds more than its limit, whatever the node itself
     * has counted. All app servers hold the payments, so that what waits behind them stays.
     */
    @ParameterizedTest
    @EnumSource(Load.class)
    void usualClientIsAnsweredInTimeWhileOthersFillTheMemory(Load load) throws Exception {
        Path file = folder.resolve("config.json");
        try (var environment = new PlatformEnvironment(3)) {
            environment.configure(file);
            Files.writeString(file, Files.readString(file).replace("\"sockets\": 256", "\"sockets\": 1024"));
            for (int i = 0; i < 3; i++) {
                holdPaymentsAndRespondAtLength(environment.server(i));
            }
            Process process = NodeProcess.start(folder, file.toString(), List.of("@../deploy/platform.options"));
            try {
                NodeProcess.awaitCondition(() -> isReady(environment.node()));
                playLoad(load, environment.node());
                long peakBytes = peakResidentBytes(process);
                assertTrue(peakBytes <= MEMORY_LIMIT_BYTES, "resident at the peak: " + peakBytes);
                NodeProcess.sendSignal(process, "TERM");
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
            assertTrue(loggedCount("client_memory_peak") <= loggedCount("client_memory_limit"));
        }
    }

    private static void holdPaymentsAndRespondAtLength(PlatformAppServer server) {
        server.setScript(request -> {
            if (request.head().target().endsWith(LONG_RESPONSE_MARK)) {
                request.respond(200, Map.of("X-True-Cost", "1"), LONG_RESPONSE);
                return true;
            }
            return request.head().target().startsWith("/payment");
        });
    }

    private static void playLoad(Load load, InetSocketAddress node) throws Exception {
        try (var usualClient = new UsualClient(node)) {
            assertTrue(usualClient.answer().startsWith("HTTP/1.1 200"));
            try (var clients = new LoadClients(load, node)) {
                // Clients that do not read cannot send everything.
                AtomicInteger ready = load.readsResponses() ? clients.sent : clients.connected;
                NodeProcess.awaitCondition(() -> ready.get() >= load.clients);
                for (int i = 1; i <= USUAL_REQUESTS; i++) {
                    usualClient.answer();
                }
            }
            NodeProcess.awaitCondition(() -> isServed(usualClient));
        }
    }

    private static boolean isServed(UsualClient usualClient) {
        try {
            return usualClient.answer().startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            throw new AssertionError("no answer after the load had ended", e);
        }
    }

    private static boolean isReady(InetSocketAddress node) {
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }
}
