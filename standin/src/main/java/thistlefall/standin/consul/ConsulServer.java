package thistlefall.standin.consul;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import thistlefall.standin.net.EmulatedNetwork;
import thistlefall.standin.net.StandinHttpServer;
import thistlefall.standin.trace.Trace;

/**
 * An emulated Consul health endpoint: {@code GET /v1/health/service/NAME} with blocking queries by {@code index} and
 * {@code wait}, written from Consul's published API page. A script can make it fail, return an empty list, return
 * garbled JSON, or remove entries. Changes may be made from any thread; they take effect on the event loop.
 */
public final class ConsulServer extends StandinHttpServer {
    /** How the endpoint responds to queries. */
    public enum ConsulMode {
        WELL,
        FAILING,
        EMPTY,
        GARBLING
    }

    /**
     * One instance on the list.
     *
     * @param size size of the server, written to the {@code size} metadata
     * @param state ready, draining or gone
     * @param started time of the last start in seconds since the epoch; 0 for long ago
     */
    public record ServiceEntry(
            String id,
            String host,
            int port,
            String zone,
            int cell,
            String kind,
            double size,
            String state,
            double started) {}

    private record BlockingQuery(InboundRequest inbound, long index) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Trace trace;
    private final Function<String, String> nodeNameByAddress;
    private final Map<String, ServiceEntry> entries = new LinkedHashMap<>();
    private final List<BlockingQuery> blockingQueries = new ArrayList<>();
    private final Map<String, Set<String>> listedIdsByNode = new HashMap<>();
    private volatile ConsulMode mode = ConsulMode.WELL;
    private long index = 10;

    /**
     * Creates a server with an empty list.
     *
     * @param nodeNameByAddress returns the name of the node with a given address, for the trace
     */
    public ConsulServer(
            EventLoop loop,
            EmulatedNetwork network,
            String zone,
            Trace trace,
            Function<String, String> nodeNameByAddress) {
        super(loop, network, zone);
        this.trace = trace;
        this.nodeNameByAddress = nodeNameByAddress;
    }

    /** Adds or replaces an entry and completes all pending blocking queries. */
    public void put(ServiceEntry entry) {
        loop().execute(() -> {
            entries.put(entry.id(), entry);
            publishChange();
        });
    }

    /** Removes an entry and completes all pending blocking queries. */
    public void remove(String id) {
        loop().execute(() -> {
            entries.remove(id);
            publishChange();
        });
    }

    /** Changes the mode and completes all pending blocking queries. */
    public void setMode(ConsulMode newMode) {
        mode = newMode;
        loop().execute(this::publishChange);
    }

    private void publishChange() {
        index++;
        List<BlockingQuery> released = new ArrayList<>(blockingQueries);
        blockingQueries.clear();
        released.forEach(query -> respond(query.inbound));
    }

    @Override
    protected void handle(InboundRequest inbound) {
        String target = inbound.head().target();
        if (!inbound.head().path().startsWith("/v1/health/service/")) {
            inbound.respond(404, Map.of(), new byte[0]);
            return;
        }
        long clientIndex = queryNumber(target, "index=");
        if (mode == ConsulMode.WELL && clientIndex == index) {
            var query = new BlockingQuery(inbound, clientIndex);
            blockingQueries.add(query);
            long waitSeconds = Math.max(1, Math.min(60, queryNumber(target, "wait=")));
            loop().schedule(
                            () -> {
                                if (blockingQueries.remove(query)) {
                                    respond(inbound);
                                }
                            },
                            waitSeconds,
                            TimeUnit.SECONDS);
            return;
        }
        respond(inbound);
    }

    private static long queryNumber(String target, String name) {
        int position = target.indexOf(name);
        long value = 0;
        for (int i = position + name.length();
                position >= 0 && i < target.length() && Character.isDigit(target.charAt(i));
                i++) {
            value = value * 10 + target.charAt(i) - '0';
        }
        return value;
    }

    private void respond(InboundRequest inbound) {
        if (mode == ConsulMode.FAILING) {
            inbound.respond(500, Map.of(), "No cluster leader".getBytes(StandardCharsets.UTF_8));
            return;
        }
        Map<String, String> headerFields =
                Map.of("Content-Type", "application/json", "X-Consul-Index", Long.toString(index));
        if (mode == ConsulMode.GARBLING) {
            inbound.respond(200, headerFields, "[{\"Service\":".getBytes(StandardCharsets.UTF_8));
            return;
        }
        ArrayNode instances = JSON.createArrayNode();
        if (mode != ConsulMode.EMPTY) {
            entries.values().forEach(entry -> instances.add(toJson(entry)));
        }
        if (inbound.respond(200, headerFields, instances.toString().getBytes(StandardCharsets.UTF_8))
                && mode == ConsulMode.WELL) {
            String node = nodeNameByAddress.apply(inbound.peerAddress());
            Set<String> previousIds = listedIdsByNode.put(node, new HashSet<>(entries.keySet()));
            entries.values()
                    .forEach(entry -> trace.add(trace.event("list", "told")
                            .withNodeAndServer(node, entry.id())
                            .outcome(entry.state())));
            if (previousIds != null) {
                previousIds.removeAll(entries.keySet());
                previousIds.forEach(id -> trace.add(
                        trace.event("list", "told").withNodeAndServer(node, id).outcome("gone")));
            }
        }
    }

    private static ObjectNode toJson(ServiceEntry entry) {
        ObjectNode instance = JSON.createObjectNode();
        instance.putObject("Node").put("Node", entry.id()).put("Address", entry.host());
        ObjectNode service = instance.putObject("Service");
        service.put("ID", entry.id())
                .put("Service", "app")
                .put("Address", entry.host())
                .put("Port", entry.port());
        ObjectNode meta = service.putObject("Meta");
        meta.put("zone", entry.zone())
                .put("cell", Integer.toString(entry.cell()))
                .put("kind", entry.kind())
                .put("size", Double.toString(entry.size()))
                .put("state", entry.state())
                .put("started", Double.toString(entry.started()));
        instance.putArray("Checks")
                .addObject()
                .put("CheckID", "service:" + entry.id())
                .put("Status", "passing");
        return instance;
    }
}
