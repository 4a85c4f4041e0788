package thistlefall.edge.list;

import java.util.List;

/** Where the server list comes from. */
public interface ListSource {
    /** Hears of the source's answers, on the node's event loop. */
    interface Listener {
        /** The whole list at a version of the source. */
        void list(long index, List<Listed> servers);

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
