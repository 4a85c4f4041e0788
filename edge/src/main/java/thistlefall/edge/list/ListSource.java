package thistlefall.edge.list;

import java.util.List;

/** Where the server list comes from. */
public interface ListSource {
    /** Hears of the source's answers, on the node's event loop. */
    interface Listener {
        /** The whole list at a version of the source. */
        void list(long index, List<Listed> servers);

        /** The whole list as saved before this start; it may be old. */
        default void saved(List<Listed> servers) {
            list(Long.MIN_VALUE, servers);
        }

        /** The entries that changed, those gone included, up to a version of the source. */
        default void changes(long index, List<Listed> servers) {
            throw new UnsupportedOperationException("this listener takes whole lists only");
        }

        /** The source failed or answered something that is no list. */
        void failed(String reason);

        /** The source lost its history; versions begin anew. */
        void reset();
    }

    /** Begins; the listener is called on the event loop. */
    void start(Listener listener);

    /** Ends. */
    void stop();
}
