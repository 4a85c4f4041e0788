import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3. Bad clients send 200 requests at once and go 50 ms later. No attempt for a client may begin more than 0.1 s
 * after it has closed its connection.
 */
final class GoneClient extends Case {
    private static final int SERVERS = 9;
    private static final int CLIENTS = 20;
    private static final int REQUESTS_AT_ONCE = 200;
    private static final double STAYS_MS = 50;
    private static final double WORK_MS = 150;
    /** The 0.1 s of the rule and the 50 ms that the pages add to each time limit. */
    private static final double BOUND_MS = 100 + 50;

    /** When the client of a request closed its connection, by the request's id. */
    private final Map<String, Long> closedAt = new ConcurrentHashMap<>();

    private final AtomicInteger attempts = new AtomicInteger();

    private GoneClient(String caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new GoneClient(args[0]));
    }

    /** An app server that needs 150 ms for each request. */
    private final class Server extends AppServer {
        Server(String id) throws IOException {
            super(id, GoneClient.this.record);
        }

        @Override
        void handle(Socket socket, Http.Message request, OutputStream out) throws IOException {
            attempts.incrementAndGet();
            String requestId = request.field("x-trace-id");
            record.line("%s runs %s %s", id, request.target(), requestId);
            Long closed = closedAt.get(requestId);
            double ms = closed == null ? 0 : (System.nanoTime() - closed) / 1e6;
            if (ms > BOUND_MS) {
                broken("%s got %s %s %.0f ms after its client had closed", id, request.target(), requestId, ms);
            }
            sleep(WORK_MS);
            out.write(answer(request));
        }
    }

    @Override
    void play() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            add(new Server("s-" + i), i / 3);
        }
        startNode();
        for (int i = 0; i < CLIENTS; i++) {
            String requestClass = i % 2 == 0 ? "slot-lookup" : "fee-payment";
            if (trouble) {
                sendMuchAndGo(i, requestClass);
            } else {
                sendOne(i, requestClass);
            }
            Standin.sleep(2_000);
        }
        record.say("%d clients, %d attempts", CLIENTS, attempts.get());
        if (!node.isAlive() || attempts.get() == 0) {
            throw new IOException("the node ended or sent nothing");
        }
    }

    private void sendMuchAndGo(int number, String requestClass) throws IOException {
        List<String> ids = new ArrayList<>();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            String id = Client.newId();
            ids.add(id);
            requests.append(Http.text(Client.request(requestClass, id, number, 3.0, "{\"fee\":1}")));
        }
        try (Socket socket = new Socket(node.address().getAddress(), node.address().getPort())) {
            socket.getOutputStream().write(Http.bytes(requests.toString()));
            record.line("client %d has sent %s to %s, %s", number, ids.get(0), ids.get(ids.size() - 1), requestClass);
            Standin.sleep(STAYS_MS);
        }
        long now = System.nanoTime();
        ids.forEach(id -> closedAt.put(id, now));
        record.line("client %d has closed", number);
    }

    private void sendOne(int number, String requestClass) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(node.address())) {
            Http.Message answer = client.exchange(Client.request(requestClass, id, number, 3.0, "{\"fee\":1}"), 4);
            record.line("client %d got %s for %s", number, answer == null ? "no answer" : answer.status(), id);
        }
        closedAt.put(id, System.nanoTime());
        record.line("client %d has closed", number);
    }
}
