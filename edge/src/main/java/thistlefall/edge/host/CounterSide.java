package thistlefall.edge.host;

import io.netty.channel.EventLoop;
import thistlefall.Ports.Outcome;
import thistlefall.edge.count.CounterCalls;

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
    private final CounterCalls counter;

    /** Calls to a counter; null for none. */
    CounterSide(EventLoop loop, CounterCalls counter, NodeCounts counts, Counted counted) {
        this.loop = loop;
        this.counts = counts;
        this.counted = counted;
        this.counter = counter;
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
