package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import thistlefall.Ports;
import thistlefall.edge.counter.CounterService;
import thistlefall.edge.serverlist.ServerListSource;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.settings.NodeSettings.LimitSettings;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.serverlist.ServerListTracker;

/**
 * Everything that a node is assembled from, whatever platform it runs on.
 *
 * @param name the node's name for logs
 * @param listen the address that clients connect to
 * @param moduleSettings the settings of the decision module
 * @param limits the limits, none of them null
 * @param clientMemoryLimit the memory for everything that clients make the node hold, in bytes
 * @param poolLimits the limits of each server's connection pool
 * @param probePath the path that probes request
 * @param dialect the HTTP conventions of the platform
 * @param requestParser parses requests that describe themselves; null if bearer tokens and routes are used
 * @param bearerSettings the settings for bearer tokens and routes; null if a request parser is used
 * @param serverListPolicy the policy for accepting updates of the server list
 * @param serviceFactory creates the clients of other services
 */
public record NodeDefinition(
        String name,
        SocketAddress listen,
        Ports.Settings moduleSettings,
        LimitSettings limits,
        long clientMemoryLimit,
        ServerConnectionPool.PoolLimits poolLimits,
        String probePath,
        Dialect dialect,
        RequestDescriptor.RequestParser requestParser,
        NodeSettings bearerSettings,
        ServerListTracker.UpdatePolicy serverListPolicy,
        ServiceFactory serviceFactory) {
    /** Creates the clients of other services; each method is called once, on the node's event loop. */
    public interface ServiceFactory {
        /** Creates the client of the shared counter; null if there is no counter. */
        CounterService counterService(EventLoop eventLoop, long seed);

        /** Creates the source of the server list. */
        ServerListSource serverListSource(EventLoop eventLoop, long seed);
    }
}
