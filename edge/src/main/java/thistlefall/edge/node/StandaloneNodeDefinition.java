package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import thistlefall.edge.counter.CounterService;
import thistlefall.edge.resp.ShardedCounter;
import thistlefall.edge.serverlist.ConsulServerListSource;
import thistlefall.edge.serverlist.FileServerListSource;
import thistlefall.edge.serverlist.ServerListParser;
import thistlefall.edge.serverlist.ServerListSource;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.serverlist.ServerListTracker;

/**
 * Defines a node by its own settings: bearer tokens, a shared counter accessed by RESP, and a server list from a file
 * or from Consul.
 */
final class StandaloneNodeDefinition implements NodeDefinition.ServiceFactory {
    private static final long CONFIRMATION_DELAY_NANOS = 3_000_000_000L;
    private static final int MAX_TOTAL_CONNECTIONS = 10_000;

    private final NodeSettings settings;

    private StandaloneNodeDefinition(NodeSettings settings) {
        this.settings = settings;
    }

    static NodeDefinition of(NodeSettings settings) {
        var serverSettings = settings.servers();
        long connectTimeout = Defaults.connectTimeout(settings);
        var poolLimits = new ServerConnectionPool.PoolLimits(
                serverSettings.maxConnections() == null ? 100 : serverSettings.maxConnections(),
                MAX_TOTAL_CONNECTIONS,
                connectTimeout,
                connectTimeout,
                0,
                Defaults.nanosOrDefault(serverSettings.idleTimeout(), 15_000_000_000L),
                settings.node().sourceAddress());
        return new NodeDefinition(
                settings.node().name(),
                new InetSocketAddress(
                        settings.listen().host(), settings.listen().port()),
                Defaults.moduleSettings(settings),
                Defaults.limits(settings),
                DirectMemory.limitForClients(),
                poolLimits,
                serverSettings.probePath() == null ? "/health" : serverSettings.probePath(),
                new BearerDialect(),
                null,
                settings,
                new ServerListTracker.UpdatePolicy(0.5, CONFIRMATION_DELAY_NANOS, 0),
                new StandaloneNodeDefinition(settings));
    }

    @Override
    public CounterService counterService(EventLoop eventLoop, long seed) {
        var counterSettings = settings.counter();
        return counterSettings == null
                ? null
                : new ShardedCounter(
                        eventLoop,
                        counterSettings.parts().stream()
                                .map(StandaloneNodeDefinition::parseAddress)
                                .toList(),
                        Defaults.nanosOrDefault(counterSettings.timeout(), 50_000_000L),
                        seed,
                        settings.node().sourceAddress());
    }

    private static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    @Override
    public ServerListSource serverListSource(EventLoop eventLoop, long seed) {
        ServerListParser parser = new ServerListParser(
                settings.zones() == null ? List.of() : settings.zones(),
                settings.kinds() == null ? List.of() : settings.kinds());
        var serverSettings = settings.servers();
        return serverSettings.file() != null
                ? new FileServerListSource(eventLoop, Path.of(serverSettings.file()), parser)
                : new ConsulServerListSource(
                        eventLoop,
                        URI.create(serverSettings.consul()),
                        serverSettings.service(),
                        parser,
                        seed,
                        settings.node().sourceAddress());
    }
}
