package thistlefall.standin.day;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import thistlefall.edge.node.EdgeNode;
import thistlefall.edge.node.WallClock;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.fault.FaultInjector;
import thistlefall.standin.fault.InjectedFault;

/** Runs edge nodes in this process, as users of the library do. */
public final class InProcessNodeRunner implements NodeRunner {
    @Override
    public String name() {
        return "library";
    }

    @Override
    public RunningNode start(NodeSettings settings, long seed, Set<InjectedFault> faults) throws IOException {
        EdgeNode node =
                EdgeNode.start(settings, new EdgeNode.Options(seed, WallClock.SYSTEM, new FaultInjector(faults)));
        return new RunningNode() {
            @Override
            public void kill() {
                node.kill();
            }

            @Override
            public void stall(Duration span) {
                node.stall(span);
            }

            @Override
            public void stop() {
                node.stop(Duration.ofSeconds(2));
            }

            @Override
            public Map<String, Long> metrics() {
                return node.metrics();
            }
        };
    }
}
