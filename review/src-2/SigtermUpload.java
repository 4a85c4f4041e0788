package thistlefall.review2;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * A planned restart meets requests of which the node has read the head and half of the body. The node ends their
 * connections without an answer.
 */
final class SigtermUpload {
    private static final int BODY = 2_000;
    private static final int DEADLINE = 5_000;

    private SigtermUpload() {}

    public static void main(String[] arguments) {
        Scene.play(arguments, SigtermUpload::run);
    }

    private static boolean run(Scene scene) throws Exception {
        AppServer server = new AppServer("s-1", 50, (self, request) -> {
            scene.note(self.name() + " runs " + request.field("x-trace-id"));
            return new AppServer.Answer(200, "done " + request.field("x-trace-id"), "");
        }).accept();
        Discovery discovery = new Discovery(scene).with("s-1", server.entry("a", "up"));
        String settings = Settings.of(250, 250, 4,
                List.of(Settings.requestClass("fee-payment", "fragile", "all", 1_200, DEADLINE, DEADLINE)),
                List.of(Settings.plan("corridor", 40, 80, 0.8, 0, 0, 0, 0)));
        Scene.Node node =
                scene.startNode("n0", Scene.freeAddress(), discovery, new Counter(), settings, discovery.list());
        try (Client kept = new Client(node.address()); Client fresh = new Client(node.address())) {
            byte[] warmUp = request("p-0");
            kept.write(warmUp);
            scene.note("kept connection: p-0 got " + describe(kept));
            byte[] onKept = request("p-1");
            byte[] onFresh = request("p-2");
            kept.write(java.util.Arrays.copyOf(onKept, onKept.length - BODY / 2));
            fresh.write(java.util.Arrays.copyOf(onFresh, onFresh.length - BODY / 2));
            scene.note("client has sent p-1 (kept connection) and p-2 (new connection) but for half of their bodies");
            Scene.pause(200);
            long signalled = Scene.millis();
            if (Scene.TROUBLE) {
                scene.signal(node, "TERM");
            }
            Scene.pauseUntil(signalled + 200);
            boolean keptLost = finish(scene, kept, onKept, "p-1");
            Scene.pauseUntil(signalled + 800);
            boolean freshLost = finish(scene, fresh, onFresh, "p-2");
            return keptLost || freshLost;
        }
    }

    private static byte[] request(String id) {
        return Http.bytes(
                Client.head("POST", "/fee-payment", id, "corridor", 7, DEADLINE / 1000.0, 1, Map.of(), BODY) + "x".repeat(BODY));
    }

    /** Sends the rest of a request and waits for its answer; returns whether the request was lost. */
    private static boolean finish(Scene scene, Client client, byte[] request, String id) {
        try {
            client.write(java.util.Arrays.copyOfRange(request, request.length - BODY / 2, request.length));
            scene.note("client has written the last byte of " + id);
        } catch (IOException e) {
            scene.note("client could not write the rest of " + id + ": " + e.getMessage());
        }
        String answer = describe(client);
        scene.note(id + " got " + answer);
        return answer.startsWith("NO ANSWER");
    }

    private static String describe(Client client) {
        try {
            Http.Message answer = client.read();
            return answer == null ? "NO ANSWER: the node has ended the connection" : answer.startLine();
        } catch (IOException e) {
            return "NO ANSWER: " + e.getMessage();
        }
    }
}
