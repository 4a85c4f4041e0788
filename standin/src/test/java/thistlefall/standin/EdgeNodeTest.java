package thistlefall.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import thistlefall.standin.auth.IntrospectionServer.IntrospectionMode;
import thistlefall.standin.auth.IntrospectionServer.IssuedToken;
import thistlefall.standin.load.MisbehavingClients;

/** Requests from clients through an edge node to servers and back, over real sockets. */
class EdgeNodeTest {
    private static final RawServer.ConnectionScript ECHO = (server, socket) -> {
        while (true) {
            String head = server.readRequest(socket);
            String path = head.split(" ")[1];
            RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
        }
    };

    /**
     * A missing or unknown token must give 401, a missing scope or an unknown plan 403, and no token may reach a
     * server.
     */
    @Test
    void onlyValidTokensWithScopeAndPlanAreServed() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            assertTrue(node.get("/safe", "good", "").endsWith("/safe"));
            String withoutToken = node.get("/safe", null, "");
            assertTrue(
                    withoutToken.startsWith("HTTP/1.1 401") && withoutToken.contains("WWW-Authenticate: Bearer\r\n"),
                    withoutToken);
            String unknownToken = node.get("/safe", "invented", "");
            assertTrue(
                    unknownToken.startsWith("HTTP/1.1 401") && unknownToken.contains("error=\"invalid_token\""),
                    unknownToken);
            node.introspection.issue("scopeless", new IssuedToken("agent-2", "basic", "", 0));
            String withoutScope = node.get("/safe", "scopeless", "");
            assertTrue(
                    withoutScope.startsWith("HTTP/1.1 403") && withoutScope.contains("scope=\"book\""), withoutScope);
            node.introspection.issue("planless", new IssuedToken("agent-3", "unknown", "book", 0));
            assertTrue(node.get("/safe", "planless", "").startsWith("HTTP/1.1 403"));
            assertEquals(1, server.requests.size());
            assertFalse(server.requests.get(0).toLowerCase().contains("authorization"), "tokens are not passed on");
        }
    }

    /** A silent introspection server must lead to a refusal within 5 s, and tokens must work again once it responds. */
    @Test
    void silentIntrospectionServerLeadsToARefusalInTime() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            node.introspection.setMode(IntrospectionMode.SILENT, 0);
            node.introspection.issue("late", new IssuedToken("agent-2", "basic", "book", 0));
            long start = System.nanoTime();
            String response = node.get("/safe", "late", "");
            assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("problem:refused"), response);
            assertTrue(System.nanoTime() - start < 5_000_000_000L);
            assertEquals(0, server.requests.size());
            node.introspection.setMode(IntrospectionMode.WELL, 0);
            EdgeNodeFixture.awaitCondition(() -> node.get("/safe", "late", "").endsWith("/safe"));
        }
    }

    /**
     * Sends an unsafe request with a token that expires during its first attempt; the attempt then ends as scripted.
     */
    private static void sendWithExpiringToken(RawServer.ConnectionScript attemptEnd, String expectedText)
            throws IOException {
        var tokenExpired = new CountDownLatch(1);
        try (var server = new RawServer((s, socket) -> {
                    s.readRequest(socket);
                    awaitLatch(tokenExpired);
                    attemptEnd.play(s, socket);
                });
                var node = new EdgeNodeFixture(server.port())) {
            // Expiry is in whole seconds: late enough for the token to be valid at first, and early enough to expire
            // before the attempt times out.
            double expiresAt = Math.ceil(System.currentTimeMillis() / 1e3 + 0.4);
            node.introspection.issue("dying", new IssuedToken("agent-4", "basic", "book", expiresAt));
            var response = new AtomicReference<String>();
            new Thread(() -> response.set(node.post("/unsafe", "dying", "", "{}"))).start();
            EdgeNodeFixture.awaitCondition(() -> server.requests.size() == 1);
            EdgeNodeFixture.awaitCondition(() -> System.currentTimeMillis() / 1e3 > expiresAt + 0.05);
            tokenExpired.countDown();
            EdgeNodeFixture.awaitCondition(() -> response.get() != null);
            assertTrue(response.get().contains(expectedText), response.get());
            assertTrue(
                    node.post("/unsafe", "dying", "", "{}").startsWith("HTTP/1.1 401"),
                    "the client's own retry is rejected");
            assertEquals(1, server.requests.size(), "nothing more is sent for an expired token");
        }
    }

    /**
     * After an attempt that provably did not run, an expired token must prevent the next attempt and end in a refusal.
     */
    @Test
    void tokenExpiredBetweenAttemptsPreventsTheNextAttempt() throws IOException {
        sendWithExpiringToken(
                (server, socket) ->
                        RawServer.write(socket, "HTTP/1.1 503 Full\r\nRequest-Unseen: ?1\r\nContent-Length: 0\r\n\r\n"),
                "problem:refused");
    }

    /** After an attempt that may have run, an expired token must not turn the outcome into a refusal. */
    @Test
    void tokenExpiredAfterAPossibleRunEndsAsFailed() throws IOException {
        sendWithExpiringToken((server, socket) -> RawServer.reset(socket), "problem:failed");
    }

    private static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Guards against responses out of order when pipelined requests end at different times. */
    @Test
    void pipelinedResponsesArriveInOrder() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            Socket socket = node.connect();
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 20; i++) {
                requests.append("GET /safe")
                        .append(i % 2 == 0 ? "" : "x")
                        .append(" HTTP/1.1\r\nHost: x\r\n")
                        .append("Authorization: Bearer good\r\n\r\n");
            }
            RawServer.write(socket, requests.toString());
            for (int i = 0; i < 20; i++) {
                String response = EdgeNodeFixture.readResponse(socket.getInputStream());
                assertTrue(
                        i % 2 == 0 ? response.endsWith("/safe") : response.startsWith("HTTP/1.1 404"),
                        i + ": " + response);
            }
        }
    }

    /**
     * Each malformed request must get a 4xx response, after the responses of earlier requests, and the connection must
     * close.
     */
    @Test
    void malformedRequestsGetA4xxAndTheConnectionCloses() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            for (String text : MisbehavingClients.MALFORMED) {
                String response = node.sendRaw(text);
                assertTrue(response.matches("(?s)HTTP/1\\.1 4\\d\\d .*Connection: close.*"), text + " -> " + response);
            }
            String responses =
                    node.sendRaw("GET /safe HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n\r\nGET /x\r\n\r\n");
            assertTrue(responses.indexOf("200 OK") < responses.indexOf("400 Bad"), "in order: " + responses);
        }
    }

    /** A request head that never ends must get 408 and not hold its connection open. */
    @Test
    void unfinishedHeadTimesOut() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            assertTrue(node.sendRaw("GET /safe HTTP/1.1\r\nHost:").startsWith("HTTP/1.1 408"));
        }
    }

    /** Chunked bodies and trailers must pass in both directions; the node itself handles Expect: 100-continue. */
    @Test
    void chunkedBodiesPassThroughAfter100Continue() throws IOException {
        var body = new StringBuilder();
        try (var server = new RawServer((s, socket) -> {
                    s.readRequest(socket);
                    for (int b = socket.getInputStream().read();
                            b >= 0;
                            b = socket.getInputStream().read()) {
                        body.append((char) b);
                        if (body.toString().endsWith("0\r\n\r\n")) {
                            RawServer.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + "3\r\nabc\r\n0\r\nSum: 1\r\n\r\n");
                        }
                    }
                });
                var node = new EdgeNodeFixture(server.port())) {
            Socket socket = node.connect();
            RawServer.write(
                    socket,
                    "POST /unsafe HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nExpect: 100-continue\r\n"
                            + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
            assertTrue(EdgeNodeFixture.readResponse(socket.getInputStream()).startsWith("HTTP/1.1 100"));
            RawServer.write(socket, "5\r\nhello\r\n0\r\n\r\n");
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response.endsWith("3\r\nabc\r\n0\r\nSum: 1\r\n\r\n"), response);
            assertEquals("5\r\nhello\r\n0\r\n\r\n", body.toString());
            assertFalse(server.requests.get(0).contains("Expect"));
        }
    }

    /** Clients that do not read large responses must not delay requests of other clients. */
    @Test
    void slowReadersDoNotDelayOtherClients() throws IOException {
        byte[] largeBody = new byte[3 << 20];
        try (var server = new RawServer((s, socket) -> {
                    while (true) {
                        boolean large = s.readRequest(socket).contains("Want: big");
                        RawServer.write(
                                socket,
                                "HTTP/1.1 200 OK\r\nContent-Length: " + (large ? largeBody.length : 2) + "\r\n\r\n");
                        socket.getOutputStream().write(large ? largeBody : new byte[2]);
                    }
                });
                var node = new EdgeNodeFixture(server.port())) {
            for (int i = 0; i < 4; i++) {
                Socket slowReader = node.connect();
                RawServer.write(
                        slowReader, "GET /safe HTTP/1.1\r\nHost: x\r\nWant: big\r\nAuthorization: Bearer good\r\n\r\n");
                slowReader.getInputStream().read();
            }
            for (int i = 0; i < 50; i++) {
                assertTrue(node.get("/safe", "good", "").startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** A client that disconnects while its request is at a server must be counted in clients_gone. */
    @Test
    void disconnectedClientIsCountedAsGone() throws IOException {
        try (var server = new RawServer((s, socket) -> s.readRequest(socket));
                var node = new EdgeNodeFixture(server.port())) {
            Socket socket = node.connect();
            RawServer.write(socket, "GET /safe HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n\r\n");
            EdgeNodeFixture.awaitCondition(() -> server.requests.size() == 1);
            socket.close();
            EdgeNodeFixture.awaitCondition(() -> node.node.metrics().get("clients_gone") == 1);
        }
    }

    /**
     * A stop must end open requests within its timeout: failed if an unsafe request may have run, refused if the
     * request is safe.
     */
    @Test
    void stopRespondsToOpenRequestsWithinItsTimeout() throws Exception {
        var receivedRequests = new AtomicInteger();
        try (var server = new RawServer((s, socket) -> {
                    s.readRequest(socket);
                    receivedRequests.incrementAndGet();
                    s.readRequest(socket);
                });
                var node = new EdgeNodeFixture(server.port())) {
            var responses = new String[2];
            Thread unsafe = new Thread(() -> responses[0] = node.post("/unsafe", "good", "", "{}"));
            Thread safe = new Thread(() -> responses[1] = node.get("/safe", "good", ""));
            unsafe.start();
            safe.start();
            EdgeNodeFixture.awaitCondition(() -> receivedRequests.get() == 2);
            long start = System.nanoTime();
            node.node.stop(Duration.ofMillis(300));
            unsafe.join(10_000);
            safe.join(10_000);
            assertTrue(responses[0].contains("problem:failed"), responses[0]);
            assertTrue(responses[1].contains("problem:refused"), responses[1]);
            assertTrue(System.nanoTime() - start < 10_000_000_000L);
        }
    }

    /** Guards against static state: tokens, server lists and the life cycle of two nodes must be independent. */
    @Test
    void twoNodesInOneProcessShareNoState() throws IOException {
        try (var server = new RawServer(ECHO);
                var firstNode = new EdgeNodeFixture(server.port());
                var secondNode = new EdgeNodeFixture()) {
            firstNode.introspection.issue("mine", new IssuedToken("agent-1", "basic", "book", 0));
            assertTrue(firstNode.get("/safe", "mine", "").endsWith("/safe"));
            assertTrue(secondNode.get("/safe", "mine", "").startsWith("HTTP/1.1 401"), "tokens are not shared");
            firstNode.node.kill();
            assertTrue(
                    secondNode.get("/safe", "good", "").contains("problem:refused"),
                    "the second node keeps running, with its own empty list");
        }
    }

    /** An empty server list file must not replace the previous list. */
    @Test
    void emptyServerListKeepsThePreviousOne() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            node.writeServerList();
            EdgeNodeFixture.awaitCondition(() -> node.get("/safe", "good", "").endsWith("/safe"));
            long servedRequests = node.node.metrics().get("served");
            assertTrue(servedRequests > 0);
        }
    }

    /**
     * A request that waits in the socket during a stall must be judged by its arrival time, so a short timeout has
     * expired by then.
     */
    @Test
    void requestsReceivedDuringAStallKeepTheirTrueAge() throws IOException {
        try (var server = new RawServer(ECHO);
                var node = new EdgeNodeFixture(server.port())) {
            assertTrue(node.get("/safe", "good", "").endsWith("/safe"));
            Socket shortTimeout = node.connect();
            Socket defaultTimeout = node.connect();
            node.node.stall(Duration.ofMillis(900));
            RawServer.write(defaultTimeout, "GET /safe HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n\r\n");
            RawServer.write(
                    shortTimeout,
                    "GET /safe HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 300\r\n" + "Authorization: Bearer good\r\n\r\n");
            String refusal = EdgeNodeFixture.readResponse(shortTimeout.getInputStream());
            assertTrue(refusal.contains("problem:refused"), refusal);
            assertTrue(EdgeNodeFixture.readResponse(defaultTimeout.getInputStream())
                    .endsWith("/safe"));
            assertEquals(
                    2, server.requests.size(), "the request with the short timeout expired before it could be sent");
        }
    }

    /** At the connection limit, idle connections must be closed first; only then may new connections be rejected. */
    @Test
    void idleConnectionsAreClosedBeforeNewOnesAreRejected() throws IOException {
        try (var server = new RawServer((s, socket) -> s.readRequest(socket));
                var node = new EdgeNodeFixture(server.port())) {
            Socket idle = node.connect();
            // Each request waits for the introspection of its token, so no connection of theirs is idle or closing.
            node.introspection.setMode(IntrospectionMode.SILENT, 0);
            EdgeNodeFixture.awaitCondition(() -> {
                sendRequests(node);
                return node.node.metrics().get("connections_turned_away") > 0;
            });
            assertEquals(-1, idle.getInputStream().read(), "the idle connection is closed to make room");
            assertTrue(node.node.metrics().get("idle_closed") > 0);
            // No connection is rejected while others are idle: each of the others has a request, in its socket at
            // least.
            EdgeNodeFixture.awaitCondition(() -> {
                var metrics = node.node.metrics();
                return metrics.get("requests") - metrics.getOrDefault("refused_full", 0L) >= 100;
            });
        }
    }

    private static void sendRequests(EdgeNodeFixture node) {
        try {
            for (int i = 0; i < 20; i++) {
                RawServer.write(node.connect(), "GET /safe HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer new\r\n\r\n");
            }
        } catch (IOException e) {
            // The node rejected the connection while the request was being written.
        }
    }
}
