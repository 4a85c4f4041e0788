package thistlefall.review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All app servers are slow for some seconds. Requests of one customer wait in the node's queue after their units were
 * taken, while further units accrue; then all are sent at once and pass the customer's hard ceiling.
 */
final class CeilingQueue {
    private static final double RATE = 8;
    private static final double BURST = 8;
    private static final double LARGEST = 2;
    /** A tenth of the ceiling or the largest request, whichever is more. */
    private static final double SLACK = 2;

    private static final long WORK = 200;
    private static final double SLOWED = 2.9;
    private static final long CUSTOMER = 7;

    private final Scene scene;
    /** The units of each request of {@link #CUSTOMER}; 0 for the requests of others. */
    private final Map<String, Double> unitsById = new ConcurrentHashMap<>();
    private volatile boolean slow;
    /** The ceiling's store, which starts full; it is kept for {@link #CUSTOMER} by what comes whole to the servers. */
    private double store = BURST;

    private double lowest = BURST;
    private long storeAt = Scene.millis();

    private CeilingQueue(Scene scene) {
        this.scene = scene;
    }

    public static void main(String[] arguments) {
        Scene.play(arguments, scene -> new CeilingQueue(scene).run());
    }

    private boolean run() throws Exception {
        AppServer first = new AppServer("s-1", 50, this::handle).accept();
        AppServer second = new AppServer("s-2", 50, this::handle).accept();
        Discovery discovery = new Discovery(scene)
                .with("s-1", first.entry("a", "up"))
                .with("s-2", second.entry("a", "up"));
        // Plan 'basic' has a quota beyond which use earns more than it costs, and a ceiling; 'corridor' has a quota.
        String settings = Settings.of(250, 1_000, LARGEST,
                List.of(Settings.requestClass("lookup", "retryable", "all", 1_500, 4_000, 4_000)),
                List.of(Settings.plan("basic", 4, 4, 0, 0.1, RATE, BURST, SLACK),
                        Settings.plan("corridor", 1_000, 2_000, 0.8, 0, 0, 0, 0)));
        Scene.Node node =
                scene.startNode("n0", Scene.freeAddress(), discovery, new Counter(), settings, discovery.list());
        // The part of the node, here the whole ceiling, fills from its start on.
        Scene.pause((long) (1_000 * BURST / RATE) + 500);
        slow = Scene.TROUBLE;
        scene.note("work takes " + workMillis() + " ms at each app server");
        long slowSince = Scene.millis();
        burst(node);
        Scene.pauseUntil(slowSince + 5_800);
        slow = false;
        synchronized (this) {
            scene.note(String.format("lowest level of the ceiling's store: %.1f; allowed: %.1f less what accrues in"
                    + " 50 ms", lowest, -SLACK));
            return lowest < -SLACK - RATE * 0.05;
        }
    }

    /** Others take all places at the servers; then the customer sends a burst and goes on at the ceiling's rate. */
    private void burst(Scene.Node node) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            threads.add(send(node, "other-" + i, "corridor", 100 + i, 1));
        }
        Scene.pause(20);
        for (int i = 0; i < BURST; i++) {
            threads.add(send(node, "burst-" + i, "basic", CUSTOMER, 1));
        }
        for (int i = 0; i < 4; i++) {
            Scene.pause((long) (1_000 / RATE) + 5);
            threads.add(send(node, "more-" + i, "basic", CUSTOMER, 1));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private Thread send(Scene.Node node, String id, String plan, long customer, double units) {
        unitsById.put(id, customer == CUSTOMER ? units : 0);
        Thread thread = new Thread(() -> {
            try (Client client = new Client(node.address())) {
                client.write(Http.bytes(Client.head("GET", "/lookup", id, plan, customer, 4, units, Map.of(), 0)));
                scene.noteQuietly("client sends " + id + " with " + units + " units");
                scene.noteQuietly(id + " got " + client.read().startLine());
            } catch (java.io.IOException e) {
                scene.note(id + ": " + e.getMessage());
            }
        });
        thread.start();
        return thread;
    }

    private long workMillis() {
        return (long) (WORK * (slow ? SLOWED : 1));
    }

    private AppServer.Answer handle(AppServer server, Http.Message request) {
        String id = request.field("x-trace-id");
        if (unitsById.get(id) > 0) {
            lowerStore(id, unitsById.get(id));
        }
        Scene.pause(workMillis());
        return new AppServer.Answer(200, "done", "");
    }

    private synchronized void lowerStore(String id, double units) {
        long now = Scene.millis();
        store = Math.min(BURST, store + RATE * (now - storeAt) / 1000) - units;
        storeAt = now;
        lowest = Math.min(lowest, store);
        scene.noteQuietly(String.format("%s comes to a server; the ceiling's store is at %.1f", id, store));
    }
}
