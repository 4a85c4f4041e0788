package thistlefall.edge.host;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import thistlefall.Ports.Outcome;
import thistlefall.edge.resp.Counter;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;

/** The module's calls to the shared counter; each ends exactly once, also where there is no counter. */
final class CounterSide {
    /** Hears of a call's end. */
    interface Counted {
        /** A call for a name has ended. */
        void counted(long name, Outcome outcome, double total);
    }

    private final EventLoop loop;
    private final NodeCounts counts;
    private final Counted counted;
    private final Counter counter;

    CounterSide(NodeSettings settings, EventLoop loop, long seed, NodeCounts counts, Counted counted) {
        this.loop = loop;
        this.counts = counts;
        this.counted = counted;
        var c = settings.counter();
        counter = c == null ? null : new Counter(loop, c.parts().stream().map(CounterSide::address).toList(),
            Defaults.nanos(c.timeout(), 50_000_000L), seed, settings.node().sourceAddress());
    }

    private static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    void add(long name, double amount, long lifetime) {
        counts.counterCalls++;
        if (counter == null) {
            loop.execute(() -> counted.counted(name, Outcome.CONNECT_FAILED, 0));
            return;
        }
        counter.add(name, amount, lifetime, (outcome, total) -> {
            counts.counterFailures += outcome == Outcome.OK ? 0 : 1;
            counted.counted(name, outcome, total);
        });
    }

    void close() {
        if (counter != null) {
            counter.close();
        }
    }
}
