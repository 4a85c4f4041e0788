package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Server;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.serverlist.ServerEndpoint;
import thistlefall.edge.upstream.ConnectionLimiter;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.edge.upstream.ServiceCall;
import thistlefall.edge.upstream.Transports;

/**
 * The connection pools of the listed servers. A pool is created at first use and drained when its server drains or is
 * removed from the list. It belongs to one process at one address: when the list gives its id another address or
 * start time, no connection of it is used again. Also sends the probes. Confined to the node's event loop; durations
 * are in nanoseconds.
 */
final class ServerPools {
    /** Receives the results of probes. */
    interface ProbeListener {
        /** Called exactly once for each probe. */
        void probeCompleted(String serverId, Outcome outcome, long duration, List<Double> loadReport);
    }

    /** The process that a pool connects to. */
    private record Target(SocketAddress address, long startedAt) {
        static Target of(ServerEndpoint endpoint) {
            return new Target(endpoint.address(), endpoint.server().startedAt());
        }
    }

    /** A pool and the process that it connects to. */
    private record TargetPool(Target target, ServerConnectionPool pool) {}

    private static final long PROBE_TIMEOUT_NANOS = 250_000_000L;

    private final EventLoop eventLoop;
    private final ServerConnectionPool.PoolLimits poolLimits;
    private final HttpLimits responseLimits;
    private final String probePath;
    private final Dialect dialect;
    private final List<String> loadReportNames;
    private final ProbeListener listener;
    private final ConnectionLimiter connectionLimiter;
    private final Map<String, Target> targets = new HashMap<>();
    private final Map<String, TargetPool> pools = new HashMap<>();
    /** The number of requested probes per server with a probe in flight; one response completes all of them. */
    private final Map<String, Integer> pendingProbes = new HashMap<>();

    ServerPools(
            EventLoop eventLoop,
            ServerConnectionPool.PoolLimits poolLimits,
            HttpLimits responseLimits,
            String probePath,
            Dialect dialect,
            List<String> loadReportNames,
            ProbeListener listener) {
        this.eventLoop = eventLoop;
        this.poolLimits = poolLimits;
        connectionLimiter = new ConnectionLimiter(poolLimits.maxTotalConnections());
        this.responseLimits = responseLimits;
        this.probePath = probePath;
        this.dialect = dialect;
        this.loadReportNames = loadReportNames;
        this.listener = listener;
    }

    /** Returns the path that probes request. */
    String probePath() {
        return probePath;
    }

    /** Updates the servers' addresses and start times from the entries of a list. */
    void updateTargets(List<ServerEndpoint> endpoints) {
        endpoints.forEach(endpoint -> targets.put(endpoint.server().id(), Target.of(endpoint)));
    }

    /** Resumes, drains and removes pools according to the current server list. */
    void updateServers(List<Server> servers) {
        Map<String, Readiness> readinessById =
                servers.stream().collect(Collectors.toMap(Server::id, Server::readiness));
        List<ServerConnectionPool> retiredPools = new ArrayList<>();
        pools.forEach((id, targetPool) -> {
            if (readinessById.get(id) != Readiness.READY) {
                targetPool.pool().drain();
            } else if (targetPool.target().equals(targets.get(id))) {
                targetPool.pool().resume();
            } else {
                retiredPools.add(targetPool.pool());
            }
        });
        pools.entrySet().removeIf(entry -> {
            boolean ready = readinessById.get(entry.getKey()) == Readiness.READY;
            return ready
                    ? !entry.getValue().target().equals(targets.get(entry.getKey()))
                    : entry.getValue().pool().connectionCount() == 0;
        });
        targets.keySet().retainAll(readinessById.keySet());
        // Their waiting requests go elsewhere at once, which may create pools.
        retiredPools.forEach(ServerConnectionPool::retire);
    }

    /** Returns the pool of a server, created if necessary; null if the server's address is unknown. */
    ServerConnectionPool poolFor(String serverId) {
        Target target = targets.get(serverId);
        TargetPool existing = pools.get(serverId);
        if (existing != null && (target == null || existing.target().equals(target))) {
            return existing.pool();
        }
        if (target == null) {
            return null;
        }
        if (existing != null) {
            existing.pool().retire();
        }
        var pool = new ServerConnectionPool(eventLoop, target.address(), poolLimits, responseLimits, connectionLimiter);
        pools.put(serverId, new TargetPool(target, pool));
        return pool;
    }

    void probe(String serverId) {
        ServerConnectionPool pool = poolFor(serverId);
        if (pool == null) {
            eventLoop.execute(() -> listener.probeCompleted(serverId, Outcome.NOT_SENT, 0, List.of()));
            return;
        }
        if (pendingProbes.merge(serverId, 1, Integer::sum) > 1) {
            return;
        }
        long startedAt = System.nanoTime();
        Map<String, String> fields = Map.of("Host", Transports.hostHeader(pool.address()));
        eventLoop.execute(() -> ServiceCall.send(
                eventLoop, pool, "GET", probePath, fields, new byte[0], 4096, PROBE_TIMEOUT_NANOS, response -> {
                    long duration = System.nanoTime() - startedAt;
                    Outcome outcome = probeOutcome(response);
                    List<Double> loadReport = response.endReason() == EndReason.ANSWER
                            ? dialect.parseLoadReport(response.fields(), loadReportNames)
                            : List.of();
                    for (int i = pendingProbes.remove(serverId); i > 0; i--) {
                        listener.probeCompleted(serverId, outcome, duration, loadReport);
                    }
                }));
    }

    private static Outcome probeOutcome(ServiceCall.ServiceResponse response) {
        return switch (response.endReason()) {
            case ANSWER -> response.status() < 300 ? Outcome.OK : Outcome.ERROR;
            case REFUSED, CONNECT_OVERDUE, NO_PLACE -> Outcome.CONNECT_FAILED;
            case OVERDUE -> Outcome.TIMEOUT;
            default -> Outcome.RESET;
        };
    }

    int connections() {
        return pools.values().stream()
                .mapToInt(targetPool -> targetPool.pool().connectionCount())
                .sum();
    }

    void close() {
        pools.values().forEach(targetPool -> targetPool.pool().close());
    }
}
