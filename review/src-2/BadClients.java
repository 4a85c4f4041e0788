package thistlefall.review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send hundreds of requests at once, with long bodies and little time left. The node's direct memory is used
 * up, its event loop blocks, and the requests of usual clients get no answer.
 */
final class BadClients {
    private static final int BAD_CONNECTIONS = 250;
    private static final int REQUESTS_AT_ONCE = 200;
    private static final int BODY = 60_000;
    private static final double TIME_LEFT = 0.02;
    private static final int USUAL_CLIENTS = 10;
    private static final int DEADLINE = 3_000;
    /** An answer has to come half a second after the request's time at the latest; 50 ms are added for sockets. */
    private static final int LOST_AFTER = DEADLINE + 550;
    private static final int SECONDS = 35;

    private final Scene scene;
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicInteger badSent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private volatile boolean stop;

    private BadClients(Scene scene) {
        this.scene = scene;
    }

    public static void main(String[] arguments) {
        Scene.play(arguments, scene -> new BadClients(scene).run());
    }

    private boolean run() throws Exception {
        AppServer.Script script = (self, request) -> {
            Scene.pause(100);
            return new AppServer.Answer(200, "done " + request.field("x-trace-id"), "");
        };
        Discovery discovery = new Discovery(scene);
        for (int i = 0; i < 10; i++) {
            AppServer server = new AppServer("s-" + i, 100, script).accept();
            discovery.with(server.name(), server.entry("a", "up"));
        }
        String settings = Settings.of(250, 250, 4,
                List.of(Settings.requestClass("slot-lookup", "retryable", "all", 800, DEADLINE, DEADLINE),
                        Settings.requestClass("fee-payment", "fragile", "all", 1_200, 5_000, 5_000)),
                List.of(Settings.plan("basic", 2, 10, 1.2, 0, 0, 0, 0),
                        Settings.plan("corridor", 40, 80, 0.8, 0, 0, 0, 0)));
        Scene.Node node =
                scene.startNode("n0", Scene.freeAddress(), discovery, new Counter(), settings, discovery.list());
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            long customer = 1 + i;
            Thread thread = new Thread(() -> usualClient(node, customer));
            thread.start();
            usual.add(thread);
        }
        Scene.pause(2_000);
        for (int i = 0; Scene.TROUBLE && i < BAD_CONNECTIONS; i++) {
            long customer = 1_000 + i;
            Scene.thread(() -> badClient(node, customer));
        }
        long end = Scene.millis() + SECONDS * 1_000L;
        while (Scene.millis() < end) {
            Scene.pause(3_000);
            scene.note("usual clients: " + answered + " requests answered, " + lost + " lost, " + ended
                    + " ended with their connection; bad clients: " + badSent + " requests sent");
        }
        stop = true;
        for (Thread thread : usual) {
            thread.join();
        }
        scene.note("usual clients: " + answered + " requests answered, " + lost + " lost");
        return lost.get() > 0;
    }

    /** Sends a request each 100 ms on a connection that it keeps. */
    private void usualClient(Scene.Node node, long customer) {
        Client client = null;
        while (!stop) {
            Scene.pause(100);
            String id = "u-" + numbers.incrementAndGet();
            long sentAt = Scene.millis();
            try {
                client = client == null ? new Client(node.address(), LOST_AFTER) : client;
                sentAt = Scene.millis();
                client.write(Http.bytes(
                        Client.head("GET", "/slot-lookup", id, "corridor", customer, DEADLINE / 1000.0, 1, Map.of(), 0)));
                Http.Message answer = client.read();
                if (answer == null) {
                    throw new IOException("the node ended the connection");
                }
                answered.incrementAndGet();
            } catch (IOException e) {
                long took = Scene.millis() - sentAt;
                if (took < LOST_AFTER) {
                    ended.incrementAndGet();
                } else if (lost.incrementAndGet() <= 5) {
                    scene.note(id + " LOST: no answer " + took + " ms after it was sent, its time was " + DEADLINE);
                }
                client = null;
            }
        }
    }

    /** Sends requests at full speed, and reads what it is sent. */
    private void badClient(Scene.Node node, long customer) {
        String body = "x".repeat(BODY);
        while (!stop) {
            try (Socket socket = new Socket(node.address().getAddress(), node.address().getPort())) {
                Scene.thread(() -> readAll(socket));
                OutputStream out = socket.getOutputStream();
                for (int i = 0; i < REQUESTS_AT_ONCE && !stop; i++) {
                    out.write(Http.bytes(Client.head("POST", "/fee-payment", "b-" + numbers.incrementAndGet(), "basic",
                            customer, TIME_LEFT, 1, Map.of(), BODY) + body));
                    badSent.incrementAndGet();
                }
            } catch (IOException e) {
                Scene.pause(20);
            }
        }
    }

    private static void readAll(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[65_536];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                // What the node answers to a bad client is of no interest.
            }
        } catch (IOException e) {
            // The node has ended the connection.
        }
    }
}
