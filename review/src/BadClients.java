import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1. For 25 seconds, 300 bad clients are connected that have sent 200 requests each at once. The usual clients
 * must get an answer to each of their requests, before, meanwhile and afterwards.
 */
final class BadClients extends Case {
    private static final int SERVERS = 9;
    private static final int USUAL_CLIENTS = 10;
    private static final int BAD_CLIENTS = 300;
    private static final int REQUESTS_EACH = 200;
    private static final int BODY_BYTES = 4_000;
    private static final long CALM_MS = 5_000;
    private static final long BAD_MS = 25_000;
    private static final long AFTERWARDS_MS = 10_000;
    /** What the clients wait for an answer, and what the pages add before a request is lost (0.5 s and 50 ms). */
    private static final double EXPIRES_IN_S = 3.0;

    private static final double LOST_AFTER_S = EXPIRES_IN_S + 0.55;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private volatile boolean badClientsStay = true;

    private BadClients(String caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new BadClients(args[0]));
    }

    /** An app server that needs 80 ms for each request. */
    private final class Server extends AppServer {
        Server(String id) throws IOException {
            super(id, BadClients.this.record);
        }

        @Override
        void handle(Socket socket, Http.Message request, OutputStream out) throws IOException {
            record.line("%s runs %s %s", id, request.target(), request.field("x-trace-id"));
            sleep(80);
            out.write(answer(request));
        }
    }

    @Override
    void play() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            add(new Server("s-" + i), i / 3);
        }
        startNode();
        long endsAt = System.nanoTime() + (CALM_MS + BAD_MS + AFTERWARDS_MS) * 1_000_000;
        Thread[] clients = new Thread[USUAL_CLIENTS];
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            clients[i] = Standin.thread(() -> usualClient(number, endsAt));
        }
        Standin.sleep(CALM_MS);
        if (trouble) {
            record.say("%d bad clients send %d requests each", BAD_CLIENTS, REQUESTS_EACH);
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                Standin.thread(() -> badClient(number));
            }
        }
        int servedBefore = served.get();
        Standin.sleep(BAD_MS);
        int servedMeanwhile = served.get() - servedBefore;
        badClientsStay = false;
        if (trouble) {
            record.say("the bad clients close their connections");
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say(
                "usual clients: served %d before, %d in the next %d s, %d afterwards; refused or failed %d, closed %d",
                servedBefore,
                servedMeanwhile,
                BAD_MS / 1000,
                served.get() - servedBefore - servedMeanwhile,
                refusedOrFailed.get(),
                closed.get());
        if (!node.isAlive()) {
            broken("the node has ended");
        }
        if (servedBefore == 0) {
            throw new IOException("nothing was served");
        }
    }

    /** Sends its requests at full speed, reads what it is sent, and does the same again when it is turned away. */
    private void badClient(int number) {
        String body = "x".repeat(BODY_BYTES);
        while (badClientsStay) {
            try (Socket socket = new Socket(node.address().getAddress(), node.address().getPort())) {
                Standin.thread(() -> {
                    try {
                        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                    } catch (IOException e) {
                        // Ended by the node, or closed below.
                    }
                    Standin.closeQuietly(socket);
                });
                for (int i = 0; i < REQUESTS_EACH && badClientsStay; i++) {
                    String id = Client.newId();
                    record.line("bad client %d sends %s", number, id);
                    socket.getOutputStream().write(Client.request("fee-payment", id, 1000 + number, 5.0, body));
                }
                while (badClientsStay && !socket.isClosed()) {
                    Standin.sleep(50);
                }
            } catch (IOException e) {
                record.line("bad client %d: %s", number, e);
                Standin.sleep(50);
            }
        }
    }

    private void usualClient(int number, long endsAt) {
        Random random = new Random(number);
        try (Client client = new Client(node.address())) {
            while (System.nanoTime() < endsAt) {
                Standin.sleep(200 * random.nextDouble());
                String id = Client.newId();
                record.line("client %d sends %s", number, id);
                try {
                    Http.Message answer =
                            client.exchange(Client.request("slot-lookup", id, number, EXPIRES_IN_S, ""), LOST_AFTER_S);
                    if (answer == null) {
                        // Not counted: the client cannot tell whether the node had read the request.
                        closed.incrementAndGet();
                        record.line("client %d: connection closed, no answer to %s", number, id);
                    } else {
                        (answer.status() == 200 ? served : refusedOrFailed).incrementAndGet();
                        record.line("client %d got %d for %s", number, answer.status(), id);
                    }
                } catch (SocketTimeoutException e) {
                    broken("client %d has no answer to %s after %.2f s", number, id, LOST_AFTER_S);
                } catch (IOException e) {
                    closed.incrementAndGet();
                    record.line("client %d: %s: %s", number, id, e);
                }
            }
        }
    }
}
