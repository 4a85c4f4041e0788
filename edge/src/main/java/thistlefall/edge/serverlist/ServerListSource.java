package thistlefall.edge.serverlist;

import java.util.List;

/** A source of the server list. */
public interface ServerListSource {
    /** Receives the lists of a source, on the node's event loop. */
    interface ServerListListener {
        /** The complete list at a version (index) of the source. */
        void fullList(long index, List<ServerEndpoint> servers);

        /** The complete list as saved before this process started; it may be out of date. */
        default void cachedList(List<ServerEndpoint> servers) {
            fullList(Long.MIN_VALUE, servers);
        }

        /** The entries that changed up to a version of the source, including those that are gone. */
        default void delta(long index, List<ServerEndpoint> servers) {
            throw new UnsupportedOperationException("this listener accepts complete lists only");
        }

        /** The source failed, or its response was not a valid list. */
        void sourceFailed(String reason);

        /** The source lost its history, and its versions start again. */
        void sourceReset();
    }

    /** Starts the source; the listener is called on the event loop. */
    void start(ServerListListener listener);

    /** Stops the source. */
    void stop();
}
