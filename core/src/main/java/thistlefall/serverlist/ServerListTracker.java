package thistlefall.serverlist;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Server;

/**
 * The node's view of the server list, between the list's source and the decision module. A fault of the source never
 * empties the list. A failed or malformed response leaves the list unchanged, and a stale one is ignored. A response in
 * which all or most servers are missing applies only after it is confirmed by another response at least
 * {@link UpdatePolicy#confirmationDelay} later. A server that is reported as draining or gone is removed at once,
 * whatever else the response contains, because the grace period of rule 3 (no new requests to a server that drains or
 * is gone) starts with the report.
 *
 * <p>Times are nanoseconds of one clock. Not thread-safe.
 */
public final class ServerListTracker {
    /**
     * When a list from the source needs a confirmation, and when a cached list is used.
     *
     * @param maxLostFraction the fraction of the listed servers that may be missing in a response without a
     *     confirmation
     * @param confirmationDelay how much later the confirming response must arrive, nanoseconds
     * @param initialListTimeout how long a starting node waits for the first response before it uses the cached list,
     *     nanoseconds
     */
    public record UpdatePolicy(double maxLostFraction, long confirmationDelay, long initialListTimeout) {}

    /**
     * A change to pass to the decision module; {@code kind} is null if nothing changed, {@code note} is a log line or
     * null.
     */
    public record ServerListChange(ListKind kind, List<Server> entries, String note) {
        private static final ServerListChange NONE = new ServerListChange(null, List.of(), null);
    }

    private final UpdatePolicy policy;
    private final long startedAt;
    private final Map<String, Server> serversById = new LinkedHashMap<>();
    private long lastIndex = Long.MIN_VALUE;
    private long confirmationPendingSince;
    private boolean confirmationPending;
    private boolean sourceResponded;

    /** Creates an empty list without a response from the source. */
    public ServerListTracker(UpdatePolicy policy, long now) {
        this.policy = policy;
        startedAt = now;
    }

    /**
     * Returns whether requests may be accepted with this list: a server is known, and the source has responded since
     * the start or the initial timeout has passed. Until then a cached list is not used, because the node must follow,
     * from its start on, every change that the source could have reported.
     */
    public boolean usable(long now) {
        return !serversById.isEmpty() && (sourceResponded || now - startedAt >= policy.initialListTimeout());
    }

    /** Returns the current servers. */
    public List<Server> servers() {
        return List.copyOf(serversById.values());
    }

    /** Returns whether a server is listed as ready, so that requests may be sent to it. */
    public boolean isReady(String id) {
        Server server = serversById.get(id);
        return server != null && server.readiness() == Readiness.READY;
    }

    /** Returns whether a response with this version is older than one that was applied, so that it is ignored. */
    public boolean isOutdated(long index) {
        return index < lastIndex;
    }

    /** Returns whether the list cached before this start may still be used. */
    public boolean usesCachedList() {
        return !sourceResponded;
    }

    /** Applies the list cached before this start; ignored once the source has responded. */
    public ServerListChange applyCached(List<Server> entries) {
        if (!usesCachedList()) {
            return ServerListChange.NONE;
        }
        entries.forEach(server -> serversById.put(server.id(), server));
        return new ServerListChange(ListKind.CACHED, List.copyOf(entries), null);
    }

    /** Records that the source could not be read; the list stays unchanged. */
    public ServerListChange sourceFailed() {
        return ServerListChange.NONE;
    }

    /**
     * Applies a full list from the source.
     *
     * @param newIndex the source's version of the list; a smaller one than before is stale, unless the source was
     *     reset, which the caller reports by {@link #sourceReset}
     */
    public ServerListChange applyFull(long now, long newIndex, List<Server> entries) {
        if (isOutdated(newIndex)) {
            return new ServerListChange(
                    null, List.of(), "server list: response " + newIndex + " is older than " + lastIndex);
        }
        lastIndex = newIndex;
        sourceResponded = true;
        Map<String, Server> reportedById = new LinkedHashMap<>();
        entries.forEach(server -> reportedById.put(server.id(), server));
        long missingCount = serversById.keySet().stream()
                .filter(id -> !reportedById.containsKey(id))
                .count();
        if (missingCount > 0 && missingCount > policy.maxLostFraction() * serversById.size()) {
            if (!confirmationPending) {
                confirmationPending = true;
                confirmationPendingSince = now;
            }
            if (now - confirmationPendingSince < policy.confirmationDelay()) {
                return applyDoubtful(reportedById, missingCount);
            }
        }
        confirmationPending = false;
        if (reportedById.equals(serversById)) {
            return ServerListChange.NONE;
        }
        serversById.clear();
        serversById.putAll(reportedById);
        return new ServerListChange(ListKind.FULL, List.copyOf(reportedById.values()), null);
    }

    /** Applies changed entries; a removed server is marked as gone. Single entries never need a confirmation. */
    public ServerListChange applyDelta(long newIndex, List<Server> entries) {
        if (isOutdated(newIndex)) {
            return new ServerListChange(
                    null, List.of(), "server list: changes " + newIndex + " are older than " + lastIndex);
        }
        lastIndex = newIndex;
        sourceResponded = true;
        List<Server> changed = new ArrayList<>();
        for (Server server : entries) {
            Server previous = server.readiness() == Readiness.GONE
                    ? serversById.remove(server.id())
                    : serversById.put(server.id(), server);
            if (!server.equals(previous)) {
                changed.add(server);
            }
        }
        return changed.isEmpty() ? ServerListChange.NONE : new ServerListChange(ListKind.DELTA, changed, null);
    }

    /** Applies the entries of an unconfirmed response; servers missing in it stay in the list. */
    private ServerListChange applyDoubtful(Map<String, Server> reportedById, long missingCount) {
        List<Server> changed = new ArrayList<>();
        for (Server server : reportedById.values()) {
            if (!server.equals(serversById.put(server.id(), server))) {
                changed.add(server);
            }
        }
        String note = "server list: " + missingCount + " of " + serversById.size()
                + " servers vanished at once; waiting for a " + "second response";
        return new ServerListChange(changed.isEmpty() ? null : ListKind.DELTA, changed, note);
    }

    /** Records that the source lost its history, so that the next response applies whatever its index. */
    public void sourceReset() {
        lastIndex = Long.MIN_VALUE;
    }
}
