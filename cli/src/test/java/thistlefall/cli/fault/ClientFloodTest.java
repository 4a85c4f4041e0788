package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistlefall.cli.fault.UsualClients.Summary;

/**
 * Guards against work of one client that others pay for: clients that send at full speed made the answers of others up
 * to 2 s late. Each flood meets a node from the first second of its life; a second node without a flood plays beside it
 * and shows what the machine itself does.
 */
class ClientFloodTest {
    private static final int USUAL_CLIENTS = 10;
    private static final int SERVERS = 10;
    private static final int SERVER_DELAY_MILLIS = 20;
    private static final long FLOOD_MILLIS = Long.getLong("flood.millis", 1_500);
    private static final long AFTERWARDS_MILLIS = 700;
    private static final String AFTER = "after ";

    @TempDir
    Path folder;

    private static NodeUnderTest startNode(Path folder) throws Exception {
        return NodeUnderTest.amongEmulatedServers(Files.createDirectory(folder), SERVERS, SERVER_DELAY_MILLIS);
    }

    /** How many clients send at full speed, and whether each node is held to one core. */
    @ParameterizedTest
    @CsvSource({"1, false", "6, false", "6, true"})
    void othersAreAnsweredInTimeBesideClientsAtFullSpeed(int floodClients, boolean oneCore) throws Exception {
        List<String> violations = new ArrayList<>();
        try (var node = startNode(folder.resolve("flooded"));
                var calmNode = startNode(folder.resolve("calm"));
                var clients = new UsualClients(node.address(), USUAL_CLIENTS, "start");
                var calmClients = new UsualClients(calmNode.address(), USUAL_CLIENTS, "start")) {
            if (oneCore) {
                node.holdToCore(0);
                calmNode.holdToCore(1);
            }
            for (FloodKind kind : FloodKind.values()) {
                clients.beginStretch(kind.name());
                calmClients.beginStretch(kind.name());
                try (var flood = new Flood(node.address(), kind, floodClients)) {
                    Thread.sleep(FLOOD_MILLIS);
                }
                clients.beginStretch(AFTER + kind);
                calmClients.beginStretch(AFTER + kind);
                Thread.sleep(AFTERWARDS_MILLIS);
            }
            clients.close();
            calmClients.close();
            for (FloodKind kind : FloodKind.values()) {
                compare(kind.name(), clients, calmClients, violations);
                compare(AFTER + kind, clients, calmClients, violations);
            }
            compareLessons("node=n0 server shunned", node, calmNode, violations);
            compareLessons("node=n0 counter silent", node, calmNode, violations);
            node.stop();
            System.out.println(
                    node.log().lines().filter(line -> line.contains("ended: ")).toList());
            assertEquals("", String.join("\n", violations), node::log);
        }
    }

    private static void compare(
            String stretch, UsualClients clients, UsualClients calmClients, List<String> violations) {
        Summary flooded = clients.summary(stretch);
        Summary calm = calmClients.summary(stretch);
        System.out.println(stretch + ": flooded " + flooded + ", calm " + calm);
        boolean moreRefused = flooded.requests() - flooded.served() > calm.requests() - calm.served();
        if (flooded.lost() > 0 || flooded.late() > calm.late() || moreRefused) {
            violations.add(stretch + ": " + flooded + ", without a flood " + calm + ", not served: "
                    + clients.notServed(stretch));
        }
    }

    /** The node must not take its own delays for those of others. */
    private static void compareLessons(
            String logLine, NodeUnderTest node, NodeUnderTest calmNode, List<String> violations) {
        long lines = node.log().lines().filter(line -> line.contains(logLine)).count();
        long calmLines =
                calmNode.log().lines().filter(line -> line.contains(logLine)).count();
        if (lines > calmLines) {
            violations.add(logLine + ": " + lines + " times, without a flood " + calmLines);
        }
    }
}
