package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against connections that are ended at SIGTERM over requests that were sent before it: 332 of 1,914 while
 * clients sent readiness checks at full speed. Every client sends on the connection that it has, one request at a time,
 * until that is ended.
 */
class ShutdownUnderFloodTest {
    private static final int CLIENTS = 60;
    private static final int FLOOD_CLIENTS = 2;
    private static final int SERVERS = 10;
    private static final int SERVER_DELAY_MILLIS = 20;
    private static final long BEFORE_MILLIS = 700;
    /** The longest deadline of the configuration counts as 3 s; SIGKILL comes this much later. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    /** New connections come for this long after SIGTERM. */
    private static final long CONNECTIONS_AFTER_TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    @TempDir
    Path folder;

    /** A request as its client saw it; the status is 0 if the connection ended without an answer. */
    private record Sent(long sentAt, boolean newConnection, int status) {}

    private final Collection<Sent> requests = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;
    /** When SIGTERM was sent; before that, a time that is never reached. */
    private volatile long terminatedAt = Long.MAX_VALUE;

    @ParameterizedTest
    @EnumSource(
            value = FloodKind.class,
            names = {"READINESS_CHECKS", "NO_ID_NO_TIME", "LOOKUPS_OF_NEW_CUSTOMERS"})
    void requestsSentBeforeSigtermAreAnswered(FloodKind kind) throws Exception {
        try (var node = NodeUnderTest.amongEmulatedServers(folder, SERVERS, SERVER_DELAY_MILLIS)) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                threads.add(new Thread(() -> askUntilStopped(node.address(), client)));
                threads.get(i).start();
            }
            boolean endedInTime;
            try (var flood = new Flood(node.address(), kind, FLOOD_CLIENTS)) {
                Thread.sleep(BEFORE_MILLIS);
                terminatedAt = System.nanoTime();
                node.signal("TERM");
                endedInTime = node.process().waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS);
            }
            long terminated = terminatedAt;
            stopped = true;
            for (Thread thread : threads) {
                thread.join();
            }
            assertTrue(endedInTime, node::log);
            List<Sent> unanswered = requests.stream()
                    .filter(request -> request.status() <= 0)
                    .filter(request -> request.newConnection() || request.sentAt() < terminated)
                    .toList();
            System.out.println(kind + ": " + requests.size() + " requests, without an answer "
                    + requests.stream().filter(request -> request.status() <= 0).count());
            assertEquals(List.of(), unanswered, node::log);
        }
    }

    private void askUntilStopped(InetSocketAddress node, int client) {
        for (int connection = 0; !stopped && mayConnect(); connection++) {
            try (var faultClient = new FaultClient(node)) {
                askOnConnection(faultClient, client + "-" + connection);
            } catch (IOException e) {
                // The node does not listen any more.
                return;
            }
        }
    }

    private boolean mayConnect() {
        return terminatedAt == Long.MAX_VALUE || System.nanoTime() - terminatedAt < CONNECTIONS_AFTER_TERM_NANOS;
    }

    /** Sends one request after another until the connection is to end. */
    private void askOnConnection(FaultClient connection, String name) {
        int status = 200;
        for (int number = 0; status > 0 && !connection.announcedClose() && !stopped; number++) {
            String request = FaultClient.lookup("c" + name + "-" + number, 2)
                    .replace("0000000000000007", String.format("%016x", 0x1000 + name.hashCode() % 64));
            long sentAt = System.nanoTime();
            try {
                status = connection.write(request).readStatus();
            } catch (IOException e) {
                status = 0;
            }
            requests.add(new Sent(sentAt, number == 0, status));
        }
    }
}
