package thistlefall.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import thistlefall.edge.node.WallClock;

/** Guards against requests that are begun for clients, identified by tokens, whose close lies unread in the socket. */
class DepartedBearerClientTest {
    /** A wall clock in whose reading the event loop can be held. */
    private static final class HoldingClock implements WallClock {
        private final AtomicReference<CountDownLatch> hold = new AtomicReference<>();
        private final CountDownLatch reached = new CountDownLatch(1);

        @Override
        public long epochNanos() {
            CountDownLatch latch = hold.get();
            if (latch != null) {
                reached.countDown();
                try {
                    latch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return WallClock.SYSTEM.epochNanos();
        }

        /** Holds the event loop at its next reading of the clock; the returned latch releases it. */
        private CountDownLatch holdEventLoop() throws InterruptedException {
            var release = new CountDownLatch(1);
            hold.set(release);
            reached.await();
            hold.set(null);
            return release;
        }
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n\r\n";
    }

    private static void respond(RawServer server, Socket socket) throws IOException {
        while (!server.readRequest(socket).isEmpty()) {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Test
    void requestOfClientThatLeftDuringAHoldUpIsNotBegun() throws Exception {
        var clock = new HoldingClock();
        try (var server = new RawServer(DepartedBearerClientTest::respond);
                var fixture = new EdgeNodeFixture(null, clock, server.port())) {
            assertTrue(fixture.get("/safe?before", "good", "").contains("ok"));
            CountDownLatch release = clock.holdEventLoop();
            try (Socket client = fixture.connect()) {
                client.getOutputStream().write(request("/safe?left").getBytes(StandardCharsets.US_ASCII));
            } finally {
                release.countDown();
            }
            assertTrue(fixture.get("/safe?after", "good", "").contains("ok"));
            assertEquals(
                    0,
                    server.requests.stream()
                            .filter(head -> head.contains("/safe?left"))
                            .count());
        }
    }
}
