package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Server;
import thistlefall.edge.serverlist.ServerEndpoint;
import thistlefall.edge.serverlist.ServerListSource;
import thistlefall.serverlist.ServerListTracker;

/**
 * Passes updates of the server list from their source through the {@link ServerListTracker}, which rejects doubtful
 * ones, to the connection pools and the decision module. Confined to the node's event loop.
 */
final class ServerListUpdater implements ServerListSource.ServerListListener {
    /** Notified of the changes that the server list tracker accepts. */
    interface ServerListChangeListener {
        /** Called with the full list or with the changed entries only, depending on the kind. */
        void serverListChanged(ListKind kind, List<Server> servers);
    }

    private final String nodeName;
    private final EventLoop eventLoop;
    private final Logger log;
    private final NodeMetrics metrics;
    private final ServerPools serverPools;
    private final ServerListChangeListener listener;
    private final ServerListTracker serverListTracker;
    private final long confirmationDelay;
    private final ServerListSource source;

    ServerListUpdater(
            NodeDefinition definition,
            EventLoop eventLoop,
            long seed,
            NodeMetrics metrics,
            ServerPools serverPools,
            ServerListChangeListener listener,
            Logger log) {
        nodeName = definition.name();
        this.eventLoop = eventLoop;
        this.metrics = metrics;
        this.serverPools = serverPools;
        this.log = log;
        this.listener = listener;
        serverListTracker = new ServerListTracker(definition.serverListPolicy(), System.nanoTime());
        confirmationDelay = definition.serverListPolicy().confirmationDelay();
        source = definition.serviceFactory().serverListSource(eventLoop, seed);
    }

    /** Whether the server list is good enough to accept requests. */
    boolean isUsable() {
        return serverListTracker.usable(System.nanoTime());
    }

    void start(NodeInterceptor interceptor) {
        source.start(interceptor.wrapServerListListener(this));
    }

    void stop() {
        source.stop();
    }

    @Override
    public void fullList(long index, List<ServerEndpoint> endpoints) {
        updateTargets(index, endpoints);
        applyChange(serverListTracker.applyFull(System.nanoTime(), index, toServers(endpoints)), index, endpoints);
    }

    @Override
    public void cachedList(List<ServerEndpoint> endpoints) {
        if (serverListTracker.usesCachedList()) {
            serverPools.updateTargets(endpoints);
        }
        applyChange(serverListTracker.applyCached(toServers(endpoints)), 0, endpoints);
    }

    @Override
    public void delta(long index, List<ServerEndpoint> endpoints) {
        updateTargets(index, endpoints);
        applyChange(serverListTracker.applyDelta(index, toServers(endpoints)), index, endpoints);
    }

    /** An outdated response must not lead requests to the addresses of servers that have gone. */
    private void updateTargets(long index, List<ServerEndpoint> endpoints) {
        if (!serverListTracker.isOutdated(index)) {
            serverPools.updateTargets(endpoints);
        }
    }

    private static List<Server> toServers(List<ServerEndpoint> endpoints) {
        return endpoints.stream().map(ServerEndpoint::server).toList();
    }

    private void applyChange(ServerListTracker.ServerListChange change, long index, List<ServerEndpoint> endpoints) {
        if (change.note() != null) {
            log.atWarn().addKeyValue("node", nodeName).log(change.note());
            if (change.kind() != null || !endpoints.isEmpty()) {
                eventLoop.schedule(
                        () -> fullList(index, endpoints), confirmationDelay + 100_000_000L, TimeUnit.NANOSECONDS);
            }
        }
        serverPools.updateServers(serverListTracker.servers());
        if (change.kind() != null) {
            log.atInfo()
                    .addKeyValue("node", nodeName)
                    .addKeyValue("version", index)
                    .addKeyValue("changed", change.entries().size())
                    .addKeyValue("servers", serverListTracker.servers().size())
                    .log("server list");
            listener.serverListChanged(change.kind(), change.entries());
            metrics.serverListUpdates++;
        }
    }

    @Override
    public void sourceFailed(String reason) {
        log.atWarn().addKeyValue("node", nodeName).log(reason);
        serverListTracker.sourceFailed();
        metrics.serverListFailures++;
    }

    @Override
    public void sourceReset() {
        serverListTracker.sourceReset();
    }
}
