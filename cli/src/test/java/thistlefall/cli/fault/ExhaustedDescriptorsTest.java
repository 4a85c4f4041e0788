package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that are lost, and listeners that stop, when the process can open no descriptor for a moment.
 */
class ExhaustedDescriptorsTest {
    private static final double SECONDS = 0.8;
    /** What a client waits beyond its time before its request counts as lost. */
    private static final int LOST_AFTER_MILLIS = 550;

    private static final int REQUESTS = 20;

    @TempDir
    Path folder;

    /** A request on an open connection is answered, although no connection to a server can be opened. */
    @Test
    void requestIsAnsweredInTimeWhenNoSocketCanBeOpened() throws Exception {
        try (var server = new ScriptedServer("s-0", 0, request -> 200);
                var node = new NodeUnderTest(folder, List.of(server), config -> config);
                var client = new FaultClient(node.address())) {
            server.close();
            client.setMaxWait((int) (SECONDS * 1000) + LOST_AFTER_MILLIS);
            // The node loads the classes that it needs, which takes descriptors where they don't come from a jar.
            assertEquals(
                    503, client.write(FaultClient.payment("refused", SECONDS)).readStatus());
            node.setDescriptorsExhausted(true);
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(
                        503, client.write(FaultClient.payment("p" + i, SECONDS)).readStatus());
            }
            node.setDescriptorsExhausted(false);
            node.stop();
            assertEquals(REQUESTS + 1, node.loggedCount("refused"));
            assertFalse(node.log().contains("xception"), node::log);
        }
    }

    /** A connection that came in the meantime is accepted while its request still has time. */
    @Test
    void connectionIsAcceptedSoonAfterAcceptsHadFailed() throws Exception {
        try (var server = new ScriptedServer("s-0", 0, request -> 200);
                var node = new NodeUnderTest(folder, List.of(server), config -> config);
                var client = new FaultClient(node.address())) {
            assertEquals(200, client.write(FaultClient.lookup("before", 3)).readStatus());
            node.setDescriptorsExhausted(true);
            try (var waitingClient = new FaultClient(node.address())) {
                waitingClient.write(FaultClient.lookup("waiting", SECONDS));
                // The node has run past the connection that it could not accept.
                assertEquals(200, client.write(FaultClient.READINESS).readStatus());
                node.setDescriptorsExhausted(false);
                waitingClient.setMaxWait((int) (SECONDS * 1000));
                assertEquals(200, waitingClient.readStatus());
            }
            node.stop();
            long failures = node.loggedCount("accept_failures");
            assertTrue(failures > 0 && failures < 1_000, () -> failures + " failed accepts, a busy loop?");
        }
    }
}
