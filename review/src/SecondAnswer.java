import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2. App servers sometimes send a second copy of an answer some milliseconds late; the node is held up for 25 ms
 * now and then. Each client must get the answer that was made for its request, or none.
 */
final class SecondAnswer extends Case {
    private static final int SERVERS = 3;
    private static final int CLIENTS = 30;
    /** Length of a hold-up of the node, and the mean time between two of them. */
    private static final double HOLD_UP_MS = 25;

    private static final double HOLD_UP_EVERY_MS = 200;
    private static final long LENGTH_MS = 75_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger secondAnswers = new AtomicInteger();

    private SecondAnswer(String caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new SecondAnswer(args[0]));
    }

    private final class Server extends AppServer {
        private final Random random = new Random(id.hashCode());

        Server(String id) throws IOException {
            super(id, SecondAnswer.this.record);
        }

        @Override
        void handle(Socket socket, Http.Message request, OutputStream out) throws IOException {
            String requestId = request.field("x-trace-id");
            record.line("%s runs %s %s", id, request.target(), requestId);
            sleep(5 + random.nextInt(10));
            byte[] answer = answer(request);
            out.write(answer);
            record.line("%s answered %s", id, requestId);
            if (trouble && random.nextInt(4) == 0) {
                sleep(2 + 7 * random.nextDouble());
                // Only when nothing else waits on the connection: no byte of a next request has come.
                if (socket.getInputStream().available() == 0) {
                    out.write(answer);
                    secondAnswers.incrementAndGet();
                    record.line("%s sent a second copy of the answer to %s", id, requestId);
                }
            }
        }
    }

    @Override
    void play() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            add(new Server("s-" + i), i);
        }
        startNode();
        long endsAt = System.nanoTime() + LENGTH_MS * 1_000_000;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Standin.thread(() -> client(number, endsAt));
        }
        Random random = new Random(1);
        while (System.nanoTime() < endsAt) {
            Standin.sleep(HOLD_UP_EVERY_MS * (0.5 + random.nextDouble()));
            if (trouble) {
                node.signal("STOP");
                Standin.sleep(HOLD_UP_MS);
                node.signal("CONT");
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say("served %d, other answers %d, second copies %d", served.get(), others.get(), secondAnswers.get());
        if (!node.isAlive() || served.get() == 0) {
            throw new IOException("the node ended or served nothing");
        }
    }

    private void client(int number, long endsAt) {
        Random random = new Random(number);
        try (Client client = new Client(node.address())) {
            while (System.nanoTime() < endsAt) {
                Standin.sleep(400 * random.nextDouble());
                String id = Client.newId();
                String requestClass = number % 3 == 0 ? "fee-payment" : "slot-lookup";
                record.line("client %d sends %s %s", number, requestClass, id);
                try {
                    Http.Message answer =
                            client.exchange(Client.request(requestClass, id, number, 3.0, "{\"fee\":1}"), 5);
                    if (answer == null) {
                        record.line("client %d: connection closed, no answer to %s", number, id);
                    } else if (answer.status() == 200) {
                        served.incrementAndGet();
                        record.line("client %d got 200 for %s: %s", number, id, answer.body());
                        if (!answer.body().equals(AppServer.body(id))) {
                            broken(
                                    "%s %s of client %d was answered 200 with '%s'",
                                    requestClass, id, number, answer.body());
                        }
                    } else {
                        others.incrementAndGet();
                        record.line("client %d got %d for %s", number, answer.status(), id);
                    }
                } catch (IOException e) {
                    record.line("client %d: %s: %s", number, id, e);
                }
            }
        }
    }
}
