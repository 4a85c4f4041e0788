package thistlefall.review2;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Most customers come only once. The node keeps what it knows of each for two minutes, in a heap of 40 MB, and ends
 * or hangs when that is full.
 */
final class OneTimeCustomers {
    /** Four times 140 requests a second. */
    private static final int RATE = 560;
    private static final int CONNECTIONS = 28;
    private static final int SECONDS = 100;
    private static final int REGULAR_CUSTOMERS = 1_000;
    /** Of a hundred requests, so many come from customers that come only once. */
    private static final int ONE_TIME_PERCENT = 90;

    private final Scene scene;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger oneTimeCustomers = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger otherAnswers = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private OneTimeCustomers(Scene scene) {
        this.scene = scene;
    }

    public static void main(String[] arguments) {
        Scene.play(arguments, scene -> new OneTimeCustomers(scene).run());
    }

    private boolean run() throws Exception {
        AppServer.Script script = (self, request) -> new AppServer.Answer(200, "done", "");
        AppServer first = new AppServer("s-1", 50, script).accept();
        AppServer second = new AppServer("s-2", 50, script).accept();
        Discovery discovery = new Discovery(scene)
                .with("s-1", first.entry("a", "up"))
                .with("s-2", second.entry("a", "up"));
        String settings = Settings.of(250, 1_000, 8,
                List.of(Settings.requestClass("window-lookup", "retryable", "all", 1_500, 4_000, 4_000)),
                List.of(Settings.plan("basic", 5, 20, 1, 0, 10, 40, 8)));
        Scene.Node node =
                scene.startNode("n0", Scene.freeAddress(), discovery, new Counter(), settings, discovery.list());
        Scene.pause(1_000);
        long begin = Scene.millis();
        for (int i = 0; i < CONNECTIONS; i++) {
            Scene.thread(() -> sendRequests(node, begin));
        }
        boolean alive = true;
        while (alive && Scene.millis() < begin + SECONDS * 1_000L) {
            Scene.pause(5_000);
            alive = node.process().isAlive();
            scene.note(sent + " requests sent, " + oneTimeCustomers + " of them from customers that come once; "
                    + served + " served, " + otherAnswers + " answered otherwise, " + unanswered + " without an answer"
                    + (alive ? "" : "; THE NODE HAS ENDED with status " + node.process().exitValue()));
        }
        // An answer is due 4.55 s after its request at the latest.
        Scene.pause(5_000);
        alive = node.process().isAlive();
        boolean answers = alive && answersReadinessCheck(node);
        int open = sent.get() - served.get() - otherAnswers.get() - unanswered.get();
        scene.note("at the end: process alive " + alive + ", answers a readiness check " + answers + ", requests without"
                + " an answer " + (unanswered.get() + open));
        return !alive || !answers;
    }

    private static boolean answersReadinessCheck(Scene.Node node) {
        try (Client client = new Client(node.address(), 3_000)) {
            client.get("/health/ready", Map.of());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void sendRequests(Scene.Node node, long begin) {
        Client client = null;
        for (int i = 0; Scene.millis() < begin + SECONDS * 1_000L && node.process().isAlive(); i++) {
            Scene.pauseUntil(begin + i * 1_000L * CONNECTIONS / RATE);
            int number = sent.incrementAndGet();
            boolean oneTime = Scene.TROUBLE && number % 100 < ONE_TIME_PERCENT;
            long customer = oneTime
                    ? REGULAR_CUSTOMERS + oneTimeCustomers.incrementAndGet()
                    : number % REGULAR_CUSTOMERS;
            try {
                client = client == null ? new Client(node.address(), 10_000) : client;
                client.write(Http.bytes(
                        Client.head("GET", "/window-lookup", "l-" + number, "basic", customer, 4, 1, Map.of(), 0)));
                Http.Message answer = client.read();
                if (answer == null) {
                    throw new IOException("the node ended the connection");
                }
                (answer.status() == 200 ? served : otherAnswers).incrementAndGet();
            } catch (IOException e) {
                if (unanswered.incrementAndGet() <= 3) {
                    scene.note("l-" + number + ": " + e.getMessage());
                }
                client = null;
            }
        }
    }
}
