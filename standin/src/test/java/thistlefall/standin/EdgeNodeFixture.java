package thistlefall.standin;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import thistlefall.Ports.Group;
import thistlefall.Ports.Repeat;
import thistlefall.edge.node.EdgeNode;
import thistlefall.edge.node.NodeInterceptor;
import thistlefall.edge.node.WallClock;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.auth.IntrospectionServer;

/** An edge node on real sockets with an introspection stand-in and the servers that a test provides. */
final class EdgeNodeFixture implements AutoCloseable {
    final IntrospectionServer introspection;
    final EdgeNode node;
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Path serverListFile;
    private final List<Socket> sockets = new ArrayList<>();

    EdgeNodeFixture(int... serverPorts) throws IOException {
        this(null, serverPorts);
    }

    EdgeNodeFixture(NodeSettings.CounterSettings counter, int... serverPorts) throws IOException {
        this(counter, WallClock.SYSTEM, serverPorts);
    }

    /** Starts a node that reads the given wall clock on its event loop, about once a second. */
    EdgeNodeFixture(NodeSettings.CounterSettings counter, WallClock wallClock, int... serverPorts) throws IOException {
        introspection = new IntrospectionServer(eventLoopGroup.next(), null, null, "edge", "secret");
        introspection.listen("127.0.0.1", 0);
        introspection.issue("good", new IntrospectionServer.IssuedToken("agent-1", "basic", "book", 0));
        serverListFile = Files.createTempFile("servers", ".json");
        writeServerList(serverPorts);
        node = EdgeNode.start(settings(counter), new EdgeNode.Options(3, wallClock, NodeInterceptor.NONE));
        // The node rereads the server list file periodically; a server that reports no error is listed within one
        // period.
        awaitCondition(() -> get("/ready", "good", "").startsWith("HTTP/1.1 404")
                && node.metrics().get("requests") > 0);
        waitForServerList();
    }

    private void waitForServerList() {
        long until = System.nanoTime() + 400_000_000L;
        awaitCondition(() -> System.nanoTime() > until);
    }

    /** Replaces the server list file. */
    void writeServerList(int... serverPorts) throws IOException {
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < serverPorts.length; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"s")
                    .append(i)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(serverPorts[i])
                    .append("\",\"cell\":")
                    .append(i)
                    .append('}');
        }
        Files.writeString(serverListFile, text.append(']'));
    }

    private NodeSettings settings(NodeSettings.CounterSettings counter) {
        var classes = List.of(
                new NodeSettings.ClassSettings(
                        "safe", millis(1500), millis(2000), Repeat.SAFE, null, null, 0.5, 1, "book"),
                new NodeSettings.ClassSettings(
                        "keyed", millis(1500), millis(2000), Repeat.KEYED, Group.CELL, millis(1500), 0.5, 1, null),
                new NodeSettings.ClassSettings(
                        "unsafe", millis(1500), millis(2000), Repeat.UNSAFE, null, null, 0.5, 1, null));
        var routes = classes.stream()
                .map(c -> new NodeSettings.RouteSettings(null, "/" + c.name(), c.name(), 1.0, null, null))
                .toList();
        var plans = List.of(new NodeSettings.PlanSettings("basic", 0, 0, 0, 1.0, 0, 0.0, 0, 0, 0));
        var limits = new NodeSettings.LimitSettings(
                3,
                1000,
                100,
                4,
                1024,
                4096,
                50,
                1L << 20,
                null,
                4096,
                millis(500),
                null,
                millis(60_000),
                null,
                millis(2_000),
                null,
                1);
        var token = new NodeSettings.TokenSettings(
                "http://127.0.0.1:" + introspection.address().getPort() + "/i",
                "edge",
                "secret",
                null,
                null,
                null,
                millis(300),
                millis(200),
                millis(400),
                millis(700),
                millis(200));
        return new NodeSettings(
                new NodeSettings.Identity("n", 0, 1, "z", null),
                new NodeSettings.Listen("127.0.0.1", 0),
                List.of("z"),
                List.of("k"),
                classes,
                routes,
                plans,
                new NodeSettings.AccessSettings(null, "plan", null),
                limits,
                token,
                counter,
                new NodeSettings.ServerSettings(
                        serverListFile.toString(), null, null, false, null, null, null, 8, millis(250), null),
                null);
    }

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    /** Polls every 5 ms until the condition holds; fails after 20 s. */
    static void awaitCondition(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold within 20 s");
            }
            java.util.concurrent.locks.LockSupport.parkNanos(5_000_000L);
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", node.address().getPort());
        socket.setSoTimeout(20_000);
        sockets.add(socket);
        return socket;
    }

    /** Sends text and returns everything received until the node closes the connection. */
    String sendRaw(String text) {
        try {
            Socket socket = connect();
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }

    String get(String path, String token, String headerFields) {
        return sendRaw("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headerFields
                + (token == null ? "" : "Authorization: Bearer " + token + "\r\n") + "\r\n");
    }

    String post(String path, String token, String headerFields, String body) {
        return sendRaw("POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + token
                + "\r\n" + headerFields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Reads one response with a content length from a connection that stays open. */
    static String readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.toString().endsWith("\r\n\r\n")) {
                String text = head.toString();
                int length = text.contains("Content-Length: ")
                        ? Integer.parseInt(text.replaceAll("(?s).*Content-Length: (\\d+).*", "$1"))
                        : 0;
                return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            }
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        node.stop(Duration.ofMillis(200));
        introspection.kill();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        Files.deleteIfExists(serverListFile);
    }
}
