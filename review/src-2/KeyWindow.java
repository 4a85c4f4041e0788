package thistlefall.review2;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A keyed request whose first attempt may have run is sent again over a connection that comes up late: after the time
 * for which the servers of the cell remember the key. Then it runs again.
 */
final class KeyWindow {
    private static final int WINDOW = 800;
    /** Each time limit is 50 ms longer; a node may be held up for 150 ms between reading its clock and writing. */
    private static final int SLACK = 200;
    private static final int FAILS_AFTER = 400;
    private static final int LATE_BY = 800;

    private final Scene scene;
    /** When a key first ran, and how often it ran; the servers of the cell share this. */
    private final Map<String, Long> firstRunAt = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();

    private KeyWindow(Scene scene) {
        this.scene = scene;
    }

    public static void main(String[] arguments) {
        Scene.play(arguments, scene -> new KeyWindow(scene).run());
    }

    private boolean run() throws Exception {
        AppServer first = new AppServer("s-1", 50, this::handle).accept();
        // At most two connections wait at this one until it accepts; the machine drops further ones, and the node's
        // tries again after a second: its connection comes up late.
        AppServer late = new AppServer("s-2", 1, this::handle);
        Discovery discovery = new Discovery(scene).with("s-1", first.entry("a", "up"));
        Counter counter = new Counter();
        String settings = Settings.of(1_500, 250, 4,
                List.of(Settings.requestClass("slot-lookup", "retryable", "all", 800, 3_000, 3_000),
                        Settings.requestClass("fee-payment", "dedup", "cell", 1_200, 5_000, WINDOW)),
                List.of(Settings.plan("corridor", 40, 80, 0.8, 0, 0, 0, 0)));
        Scene.Node node = scene.startNode("n0", Scene.freeAddress(), discovery, counter, settings, discovery.list());
        warmUp(node);
        try (Client client = new Client(node.address())) {
            scene.note("client sends payment o-1 with key k-1");
            client.write(Http.bytes(Client.head("POST", "/fee-payment", "o-1", "corridor", 7, 5, 1,
                    Map.of("Idempotency-Key", "k-1"), 2) + "{}"));
            Scene.pause(100);
            List<Socket> waiting = new ArrayList<>();
            for (int i = 0; Scene.TROUBLE && i < 2; i++) {
                waiting.add(new Socket(late.address().getAddress(), late.address().getPort()));
            }
            discovery.change("s-2", late.entry("a", "up"));
            Scene.pause(FAILS_AFTER - 100 + (Scene.TROUBLE ? LATE_BY : 0));
            if (!Scene.TROUBLE) {
                scene.note("s-2 accepts connections at once");
            }
            late.accept();
            Http.Message answer = client.read();
            scene.note("client got " + (answer == null ? "nothing" : answer.startLine() + " " + new String(answer.body())));
            for (Socket socket : waiting) {
                socket.close();
            }
        }
        Scene.pause(1_000);
        synchronized (this) {
            scene.note("payment k-1 ran " + runs.getOrDefault("k-1", 0) + " times");
            return runs.getOrDefault("k-1", 0) > 1;
        }
    }

    /** Opens some connections to s-1, so that the late one is one of five. */
    private void warmUp(Scene.Node node) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Client client = new Client(node.address());
            clients.add(client);
            client.write(Http.bytes(Client.head("GET", "/slot-lookup", "l-" + i, "corridor", 8, 3, 1, Map.of(), 0)));
        }
        for (Client client : clients) {
            scene.noteQuietly("lookup: " + client.read().startLine());
            client.close();
        }
    }

    private AppServer.Answer handle(AppServer server, Http.Message request) {
        String id = request.field("x-trace-id");
        if (request.target().equals("/slot-lookup")) {
            Scene.pause(100);
            return new AppServer.Answer(200, id, "");
        }
        String key = request.field("idempotency-key");
        synchronized (this) {
            long now = Scene.millis();
            Long ranAt = firstRunAt.get(key);
            scene.note(server.name() + " received " + id + " with key " + key + (ranAt == null ? ""
                    : ", " + (now - ranAt) + " ms after the first attempt"));
            if (ranAt != null && now - ranAt <= WINDOW + SLACK) {
                scene.note(server.name() + " drops the repeat");
                return new AppServer.Answer(200, "done " + key, "");
            }
            firstRunAt.put(key, now);
            runs.merge(key, 1, Integer::sum);
            scene.note(server.name() + " RUNS " + key);
            if (ranAt != null) {
                return new AppServer.Answer(200, "done " + key, "");
            }
        }
        Scene.pause(FAILS_AFTER);
        scene.note(server.name() + " answers 500 to " + id + ", which has run");
        return new AppServer.Answer(500, "", "");
    }
}
