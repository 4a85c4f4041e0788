package thistlefall.cli.fault;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import thistlefall.cli.fault.SoakRequest.End;
import thistlefall.cli.fault.SoakRequest.Kind;

/** One client of a soak: sends one request after another, most of the time; sometimes it leaves or sends many. */
final class SoakClient {
    /** Half a second after its time a request that has no answer is lost; the protocol's slack is added. */
    private static final int LOST_AFTER_MILLIS = 550;

    private static final int MAX_BURST = 60;

    private final Soak soak;
    private final InetSocketAddress node;
    private final String name;
    private final Random random;
    private FaultClient connection;
    private boolean connectionUsed;
    private int requestNumber;

    SoakClient(Soak soak, InetSocketAddress node, String name, long seed) {
        this.soak = soak;
        this.node = node;
        this.name = name;
        random = new Random(seed);
    }

    /** Sends requests until the soak has ended. */
    void run() {
        try {
            while (!soak.hasEnded()) {
                if (connection == null && !connect()) {
                    Soak.pause(20);
                    continue;
                }
                switch (random.nextInt(10)) {
                    case 0, 1 -> leave();
                    case 2 -> sendManyAndLeave();
                    default -> ask();
                }
                Soak.pause(random.nextInt(40));
            }
            closeConnection();
        } catch (InterruptedException | IOException e) {
            throw new AssertionError(e);
        }
    }

    private boolean connect() {
        if (!soak.acceptsConnections()) {
            return false;
        }
        try {
            connection = new FaultClient(node);
            connectionUsed = false;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void closeConnection() throws IOException {
        if (connection != null) {
            connection.close();
        }
        connection = null;
    }

    private SoakRequest nextRequest(Kind kind) {
        return soak.record(kind, name + "-" + ++requestNumber);
    }

    private Kind anyKind() {
        return Kind.values()[random.nextInt(Kind.values().length)];
    }

    /** Sends a request and waits for its answer. */
    private void ask() throws IOException {
        SoakRequest request = nextRequest(anyKind());
        double seconds = random.nextInt(4) == 0 ? 0.15 + 0.3 * random.nextDouble() : 1.0 + 0.5 * random.nextDouble();
        boolean reused = connectionUsed;
        connectionUsed = true;
        try {
            connection.setMaxWait((int) (seconds * 1_000) + LOST_AFTER_MILLIS);
            request.status = connection.write(request.text(seconds)).readStatus();
            request.end = request.status != 0 ? End.ANSWERED : reused ? End.CROSSED : End.DROPPED;
        } catch (SocketTimeoutException e) {
            request.end = End.NO_ANSWER;
        } catch (IOException e) {
            request.end = reused ? End.CROSSED : End.DROPPED;
        }
        if (request.end != End.ANSWERED || connection.announcedClose()) {
            closeConnection();
        }
    }

    /** Sends a request that must not run twice, leaves, and sometimes sends the same id again. */
    private void leave() throws IOException, InterruptedException {
        SoakRequest request = nextRequest(random.nextBoolean() ? Kind.PAYMENT : Kind.BOOKING);
        request.end = End.LEFT;
        try {
            connection.write(request.text(1.2));
        } catch (IOException e) {
            // The node has ended the connection.
        }
        Soak.pause(random.nextInt(100));
        if (random.nextBoolean()) {
            connection.reset();
        }
        closeConnection();
        request.closedAt = System.nanoTime();
        if (random.nextBoolean()) {
            Soak.pause(random.nextInt(300));
            if (connect()) {
                SoakRequest again = soak.record(request.kind, request.id);
                again.end = End.LEFT;
                try {
                    connection.setMaxWait(1_200 + LOST_AFTER_MILLIS);
                    again.status = connection.write(again.text(1.2)).readStatus();
                } catch (IOException e) {
                    // Only whether it ran twice is looked at.
                }
                closeConnection();
                again.closedAt = System.nanoTime();
            }
        }
    }

    private void sendManyAndLeave() throws IOException {
        List<SoakRequest> many = new ArrayList<>();
        var text = new StringBuilder();
        for (int i = random.nextInt(MAX_BURST); i >= 0; i--) {
            SoakRequest request = nextRequest(Kind.PAYMENT);
            request.end = End.LEFT;
            many.add(request);
            text.append(request.text(1.2));
        }
        try {
            connection.write(text.toString());
        } catch (IOException e) {
            // The node has ended the connection.
        }
        closeConnection();
        long closedAt = System.nanoTime();
        many.forEach(request -> request.closedAt = closedAt);
    }
}
