package thistlefall.edge.serverlist;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Server;

/**
 * Parses server lists. A list with any invalid entry is rejected as a whole, because a server that is missing from the
 * list by mistake would count as gone.
 */
public final class ServerListParser {
    /** Thrown for an invalid server list; the message names the entry and the reason. */
    public static final class InvalidServerListException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidServerListException(String reason) {
            super(reason);
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private final List<String> zones;
    private final List<String> kinds;

    /** A parser for lists with these names of zones and kinds. */
    public ServerListParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Parses a list file: an array of objects with address, and optionally id, zone, cell, kind, size, state, started.
     */
    public List<ServerEndpoint> parseFile(byte[] json) throws InvalidServerListException {
        JsonNode root = parseArray(json);
        List<ServerEndpoint> servers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < root.size(); i++) {
            JsonNode entry = root.get(i);
            String entryLabel = "entry " + (i + 1);
            String address = entry.path("address").asText("");
            int colon = address.lastIndexOf(':');
            if (colon <= 0) {
                throw new InvalidServerListException(entryLabel + ": address must be host:port");
            }
            servers.add(toEndpoint(
                    entryLabel,
                    ids,
                    entry.path("id").asText(address),
                    address.substring(0, colon),
                    parsePort(entryLabel, address.substring(colon + 1)),
                    entry,
                    parseReadiness(entryLabel, entry.path("state").asText("ready"))));
        }
        return servers;
    }

    /** Parses a response of {@code /v1/health/service/NAME}. */
    public List<ServerEndpoint> parseConsul(byte[] json) throws InvalidServerListException {
        JsonNode root = parseArray(json);
        List<ServerEndpoint> servers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < root.size(); i++) {
            String entryLabel = "entry " + (i + 1);
            JsonNode service = root.get(i).path("Service");
            String host = service.path("Address").asText("");
            if (host.isEmpty()) {
                host = root.get(i).path("Node").path("Address").asText("");
            }
            JsonNode meta = service.path("Meta");
            boolean critical = false;
            for (JsonNode check : root.get(i).path("Checks")) {
                critical |= "critical".equals(check.path("Status").asText());
            }
            Readiness readiness = parseReadiness(entryLabel, meta.path("state").asText("ready"));
            servers.add(toEndpoint(
                    entryLabel,
                    ids,
                    service.path("ID").asText(""),
                    host,
                    parsePort(entryLabel, service.path("Port").asText("")),
                    meta,
                    critical && readiness == Readiness.READY ? Readiness.DRAINING : readiness));
        }
        return servers;
    }

    private static JsonNode parseArray(byte[] json) throws InvalidServerListException {
        try {
            JsonNode root = JSON.readTree(json);
            if (root == null || !root.isArray()) {
                throw new InvalidServerListException("a server list must be an array");
            }
            return root;
        } catch (IOException e) {
            throw new InvalidServerListException(
                    "invalid JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private ServerEndpoint toEndpoint(
            String entryLabel,
            Set<String> ids,
            String id,
            String host,
            int port,
            JsonNode attributes,
            Readiness readiness)
            throws InvalidServerListException {
        if (id.isEmpty() || host.isEmpty()) {
            throw new InvalidServerListException(entryLabel + ": a server needs an id and an address");
        }
        if (!ids.add(id)) {
            throw new InvalidServerListException(entryLabel + ": " + id + " is listed twice");
        }
        double size = attributes.path("size").asDouble(1);
        long started = (long) (attributes.path("started").asDouble(0) * 1e9);
        var server = new Server(
                id,
                size,
                indexOfName(entryLabel, "zone", zones, attributes.path("zone").asText(null)),
                attributes.path("cell").asInt(0),
                indexOfName(entryLabel, "kind", kinds, attributes.path("kind").asText(null)),
                readiness,
                started);
        return new ServerEndpoint(server, new InetSocketAddress(host, port));
    }

    private static int indexOfName(String entryLabel, String attribute, List<String> names, String name)
            throws InvalidServerListException {
        if (name == null) {
            return 0;
        }
        int index = names.indexOf(name);
        if (index < 0) {
            throw new InvalidServerListException(entryLabel + ": unknown " + attribute + " " + name);
        }
        return index;
    }

    private static int parsePort(String entryLabel, String text) throws InvalidServerListException {
        try {
            int port = Integer.parseInt(text);
            if (port > 0 && port < 65536) {
                return port;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new InvalidServerListException(entryLabel + ": invalid port: " + text);
    }

    private static Readiness parseReadiness(String entryLabel, String text) throws InvalidServerListException {
        return switch (text) {
            case "ready" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            case "gone" -> Readiness.GONE;
            default -> throw new InvalidServerListException(entryLabel + ": unknown state " + text);
        };
    }
}
