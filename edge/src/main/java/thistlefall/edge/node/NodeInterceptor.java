package thistlefall.edge.node;

import thistlefall.Ports;
import thistlefall.edge.serverlist.ServerListSource;
import thistlefall.request.ResponseKind;

/**
 * Observes or changes what passes between the parts of a node, for rehearsals and tests. In production nothing is
 * changed ({@link #NONE}). All methods are called on the node's event loop.
 */
public interface NodeInterceptor {
    /** Changes nothing. */
    NodeInterceptor NONE = new NodeInterceptor() {};

    /** Returns the settings that the decision module is started with. */
    default Ports.Settings overrideSettings(Ports.Settings settings) {
        return settings;
    }

    /** Returns the receiver of the events that the host reports to the module. */
    default Ports.Events wrapEvents(Ports.Events module) {
        return module;
    }

    /** Returns the receiver of the actions that the module requests from the host. */
    default Ports.Actions wrapActions(Ports.Actions host) {
        return host;
    }

    /** Returns the listener that the source of the server list reports to. */
    default ServerListSource.ServerListListener wrapServerListListener(ServerListSource.ServerListListener listener) {
        return listener;
    }

    /** Whether a final response that has been recorded as given is actually sent to the client. */
    default boolean deliversResponse(ResponseKind kind) {
        return true;
    }
}
