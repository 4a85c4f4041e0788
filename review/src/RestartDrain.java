import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3. The node is killed; while it is down, discovery learns that an app server drains; the platform starts the
 * node again with the list that it had last, and the first watch ends instead of telling. Requests go on coming. The
 * server that drains must get none of them.
 */
final class RestartDrain extends Case {
    private static final int SERVERS = 3;
    private static final int CLIENTS = 30;
    private static final int RESTARTS = 6;
    /** The grace of the settings and the 50 ms that the pages add, in milliseconds. */
    private static final double GRACE_MS = 250 + 50;

    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean sending = true;
    /** When the node was told that s-0 drains; 0 while s-0 is up. */
    private volatile long toldAt;

    private RestartDrain(String caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new RestartDrain(args[0]));
    }

    private final class Server extends AppServer {
        Server(String id) throws IOException {
            super(id, RestartDrain.this.record);
        }

        @Override
        void handle(Socket socket, Http.Message request, OutputStream out) throws IOException {
            long told = toldAt;
            if (told != 0 && id.equals("s-0")) {
                double ms = (System.nanoTime() - told) / 1e6;
                String requestId = request.field("x-trace-id");
                if (ms > GRACE_MS) {
                    broken("s-0 got %s %.0f ms after the node was told that s-0 drains", requestId, ms);
                } else {
                    record.line("s-0 got %s %.0f ms after the node was told that s-0 drains", requestId, ms);
                }
            }
            sleep(20);
            out.write(answer(request));
        }
    }

    @Override
    void play() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            add(new Server("s-" + i), i);
        }
        String up = Discovery.entry("s-0", servers.get(0).address(), "hall-a", 0, "up", 0);
        String draining = Discovery.entry("s-0", servers.get(0).address(), "hall-a", 0, "draining", 0);
        startNode();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Standin.thread(() -> client(number));
        }
        for (int i = 0; i < RESTARTS; i++) {
            Standin.sleep(4_000);
            if (trouble) {
                String lastList = discovery.wholeList();
                node.signal("KILL");
                node.waitFor();
                record.line("node killed");
                Standin.sleep(300);
                discovery.change("s-0", draining);
                configure(lastList);
                discovery.watchesToEnd.set(1);
                node.start(discovery.address());
            } else {
                discovery.change("s-0", draining);
            }
            // A new process counts as told from its first moment.
            toldAt = System.nanoTime();
            Standin.sleep(4_000);
            toldAt = 0;
            discovery.change("s-0", up);
        }
        sending = false;
        record.say("served %d", served.get());
        if (!node.isAlive() || served.get() == 0) {
            throw new IOException("the node ended or served nothing");
        }
    }

    /** Sends five requests a second on average; the front has not noticed that the node was down. */
    private void client(int number) {
        Random random = new Random(number);
        try (Client client = new Client(node.address())) {
            while (sending) {
                Standin.sleep(400 * random.nextDouble());
                String id = Client.newId();
                try {
                    Http.Message answer = client.exchange(Client.request("slot-lookup", id, number, 3.0, ""), 4);
                    if (answer == null) {
                        record.line("client %d: connection closed, no answer to %s", number, id);
                    } else {
                        served.addAndGet(answer.status() == 200 ? 1 : 0);
                        record.line("client %d got %d for %s", number, answer.status(), id);
                    }
                } catch (IOException e) {
                    record.line("client %d: %s: %s", number, id, e);
                }
            }
        }
    }
}
