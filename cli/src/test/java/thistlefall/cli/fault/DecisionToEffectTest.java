package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistlefall.cli.NodeProcess;
import thistlefall.cli.fault.ScriptedServer.ReadRequest;

/**
 * Guards against requests that a node hands to the kernel while they are allowed, and that a server takes when they are
 * not any more; and against requests that are begun for clients whose close lies unread in the kernel. Processes on
 * loopback; the servers accept and read when the test says so.
 */
class DecisionToEffectTest {
    private static final long KEY_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** What the protocol adds to each time limit on sockets. */
    private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final int BOOKINGS = 8;
    private static final double BOOKING_SECONDS = 4.0;

    /** Where the servers keep what they get, for longer than the key is remembered. */
    enum Hold {
        BEFORE_ACCEPT,
        BEFORE_READ;

        private void set(ScriptedServer server, boolean held) {
            if (this == BEFORE_ACCEPT) {
                server.setAccepting(!held);
            } else {
                server.setReading(!held);
            }
        }
    }

    @TempDir
    Path folder;

    /** Bookings may wait long for a connection and for their response, and their keys are remembered for a second. */
    private static String withShortKeyWindow(String config) {
        return config.replace("\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 1500000000")
                .replace("\"aim-ns\": 500000000", "\"aim-ns\": 3000000000")
                .replace("\"deadline-ns\": 1200000000", "\"deadline-ns\": 5000000000")
                .replace("\"key-ttl-ns\": 1200000000", "\"key-ttl-ns\": " + KEY_WINDOW_NANOS)
                .replace("\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"51\"");
    }

    private static List<ScriptedServer> startServers(int count, ScriptedServer.Script script) throws IOException {
        List<ScriptedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new ScriptedServer("s-" + i, 0, script));
        }
        return servers;
    }

    private static List<ReadRequest> requestsOf(List<ScriptedServer> servers, String path) {
        return servers.stream()
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.path().equals(path))
                .sorted((first, second) -> Long.compare(first.readAt(), second.readAt()))
                .toList();
    }

    /** Serves a request of another client, which proves that the node has run past everything that came before. */
    private static void serveOtherClient(NodeUnderTest node, String id) throws IOException {
        try (var client = new FaultClient(node.address())) {
            assertEquals(200, client.write(FaultClient.lookup(id, 3)).readStatus());
        }
    }

    /** Sends bookings and waits until all of them have been read by servers. */
    private static List<FaultClient> beginBookings(NodeUnderTest node, List<ScriptedServer> servers, int count)
            throws IOException {
        List<FaultClient> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new FaultClient(node.address()).write(FaultClient.booking("b" + i, BOOKING_SECONDS)));
        }
        NodeProcess.awaitCondition(() -> requestsOf(servers, "/booking").size() == count);
        return clients;
    }

    /** Returns the repeats that the servers have read after their key was forgotten. */
    private static List<String> lateRepeats(List<ScriptedServer> servers) {
        Map<String, Long> firstReadAt = new HashMap<>();
        List<String> late = new ArrayList<>();
        for (ReadRequest request : requestsOf(servers, "/booking")) {
            Long first = firstReadAt.putIfAbsent(request.key(), request.readAt());
            if (first != null && request.readAt() - first > KEY_WINDOW_NANOS + SLACK_NANOS) {
                late.add(request.key() + " again after " + TimeUnit.NANOSECONDS.toMillis(request.readAt() - first)
                        + " ms");
            }
        }
        return late;
    }

    /**
     * All servers of a cell reset the connections of requests that have begun, and take the repeats only when their
     * keys are forgotten. The node could hand them to the kernel in time.
     */
    @ParameterizedTest
    @EnumSource(Hold.class)
    void repeatsAreNotTakenAfterTheirKeyWasForgotten(Hold hold) throws Exception {
        List<ScriptedServer> servers = startServers(4, request -> {
            return request.path().equals("/booking") ? ScriptedServer.NO_RESPONSE : 200;
        });
        List<FaultClient> clients = new ArrayList<>();
        try (var node = new NodeUnderTest(folder, servers, DecisionToEffectTest::withShortKeyWindow)) {
            clients.addAll(beginBookings(node, servers, BOOKINGS));
            List<ReadRequest> first = requestsOf(servers, "/booking");
            long windowEnd = first.get(BOOKINGS - 1).readAt() + KEY_WINDOW_NANOS + SLACK_NANOS;
            servers.forEach(server -> hold.set(server, true));
            for (ScriptedServer server : servers) {
                server.resetConnections();
            }
            NodeProcess.awaitCondition(() -> System.nanoTime() > windowEnd);
            servers.forEach(server -> hold.set(server, false));
            for (FaultClient client : clients) {
                client.readStatus();
            }
            serveOtherClient(node, "other");
            node.stop();
            assertTrue(node.loggedCount("attempts") > BOOKINGS + 1, "some were tried again");
            assertEquals(List.of(), lateRepeats(servers), node::log);
        } finally {
            close(clients, servers);
        }
    }

    /**
     * A server that has just reset all connections takes nothing for a while. Payments whose clients leave meanwhile
     * must not lie before it.
     */
    @ParameterizedTest
    @EnumSource(Hold.class)
    void paymentsOfClientsThatLeftDoNotWaitBeforeServerThatHadReset(Hold hold) throws Exception {
        List<ScriptedServer> servers = startServers(1, request -> {
            return request.path().equals("/booking") ? ScriptedServer.NO_RESPONSE : 200;
        });
        List<FaultClient> clients = new ArrayList<>();
        try (var node = new NodeUnderTest(folder, servers, DecisionToEffectTest::withShortKeyWindow)) {
            clients.addAll(beginBookings(node, servers, 2));
            servers.forEach(server -> hold.set(server, true));
            for (ScriptedServer server : servers) {
                server.resetConnections();
            }
            NodeProcess.awaitCondition(
                    () -> servers.stream().allMatch(server -> node.log().contains("server shunned: " + server.id())));
            for (int i = 0; i < 8; i++) {
                try (var client = new FaultClient(node.address())) {
                    client.write(FaultClient.payment("p" + i, 3));
                    // The node has read the payment, and begins no later than this what it begins at once.
                    assertEquals(
                            200,
                            clientOf(node, clients).write(FaultClient.READINESS).readStatus());
                }
            }
            long leftAt = System.nanoTime();
            NodeProcess.awaitCondition(
                    () -> System.nanoTime() - leftAt > TimeUnit.MILLISECONDS.toNanos(100) + SLACK_NANOS);
            servers.forEach(server -> hold.set(server, false));
            node.stop();
            assertEquals(8, node.loggedCount("clients_gone") - node.loggedCount("never_begun"), node::log);
            assertEquals(List.of(), requestsOf(servers, "/payment"));
        } finally {
            close(clients, servers);
        }
    }

    private static FaultClient clientOf(NodeUnderTest node, List<FaultClient> clients) throws IOException {
        var client = new FaultClient(node.address());
        clients.add(client);
        return client;
    }

    private static void close(List<FaultClient> clients, List<ScriptedServer> servers) throws IOException {
        for (FaultClient client : clients) {
            client.close();
        }
        for (ScriptedServer server : servers) {
            server.close();
        }
    }

    /** The node is held up; meanwhile clients send payments and close. Nobody is there to be served. */
    @ParameterizedTest
    @ValueSource(ints = {1, 40, 400})
    void paymentsOfClientsThatClosedDuringAHoldUpAreNotBegun(int paymentsAtOnce) throws Exception {
        List<ScriptedServer> servers = startServers(2, request -> 200);
        try (var node = new NodeUnderTest(folder, servers, config -> config)) {
            serveOtherClient(node, "before");
            List<FaultClient> clients = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                clients.add(new FaultClient(node.address()));
            }
            serveOtherClient(node, "between");
            node.holdUp();
            for (int i = 0; i < clients.size(); i++) {
                clients.get(i).write(payments("p" + i, paymentsAtOnce));
                clients.get(i).close();
            }
            node.resume();
            serveOtherClient(node, "after");
            node.stop();
            assertEquals(List.of(), requestsOf(servers, "/payment"));
        } finally {
            close(List.of(), servers);
        }
    }

    private static String payments(String prefix, int count) {
        var requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(FaultClient.payment(prefix + "-" + i, 3));
        }
        return requests.toString();
    }

    /** Clients send more than can be read at once, and close; their close lies behind it, unread. */
    @Test
    void paymentsOfClientsThatSentMuchAndClosedAreNotBegunLate() throws Exception {
        List<ScriptedServer> servers = startServers(2, request -> {
            Thread.sleep(20);
            return 200;
        });
        Map<String, Long> closedAt = new HashMap<>();
        try (var node = new NodeUnderTest(folder, servers, config -> config)) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                String prefix = "m" + i;
                var thread = new Thread(() -> {
                    try (var client = new FaultClient(node.address())) {
                        client.write(payments(prefix, 4_000));
                    } catch (IOException e) {
                        // The node has ended the connection: it may refuse what is too much.
                    }
                    synchronized (closedAt) {
                        closedAt.put(prefix, System.nanoTime());
                    }
                });
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            serveOtherClient(node, "after");
            node.stop();
            for (ReadRequest request : requestsOf(servers, "/payment")) {
                long late = request.readAt() - closedAt.get(request.id().split("-")[0]);
                assertTrue(
                        late <= TimeUnit.MILLISECONDS.toNanos(100) + SLACK_NANOS,
                        () -> request.id() + " begun " + TimeUnit.NANOSECONDS.toMillis(late) + " ms after the close");
            }
        } finally {
            close(List.of(), servers);
        }
    }
}
