package thistlefall.standin.day;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.fault.InjectedFault;

/** Runs edge nodes for a rehearsal, either in this process or each in a process of its own. */
public interface NodeRunner {
    /** A running node. */
    interface RunningNode {
        /** Ends the node abruptly, as a crash would. */
        void kill();

        /** Stalls the whole node for a time span. */
        void stall(Duration span);

        /** Stops the node gracefully within a bounded time. */
        void stop();

        /** Returns the node's own metrics if it can be queried; the checkers never use them. */
        Map<String, Long> metrics();
    }

    /** Returns the name of this runner: library or daemon. */
    String name();

    /** Starts a node, which listens when this method returns. */
    RunningNode start(NodeSettings settings, long seed, Set<InjectedFault> faults) throws IOException;
}
