package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import thistlefall.Ports.Outcome;
import thistlefall.edge.counter.CounterService;

/**
 * Makes the decision module's calls to the shared counter. Each call completes exactly once, even if the node has no
 * counter. Confined to the node's event loop.
 */
final class CounterDispatcher {
    /** Receives the results of counter calls. */
    interface CounterResultListener {
        /** Called once when a call for the given counter has completed. */
        void counterCallCompleted(long counterId, Outcome outcome, double total);
    }

    private final EventLoop eventLoop;
    private final NodeMetrics metrics;
    private final CounterResultListener listener;
    private final CounterService counterService;

    /** Creates a dispatcher; {@code counterService} is null if the node has no counter. */
    CounterDispatcher(
            EventLoop eventLoop, CounterService counterService, NodeMetrics metrics, CounterResultListener listener) {
        this.eventLoop = eventLoop;
        this.metrics = metrics;
        this.listener = listener;
        this.counterService = counterService;
    }

    void add(long counterId, double amount, long lifetime) {
        metrics.counterCalls++;
        if (counterService == null) {
            eventLoop.execute(() -> listener.counterCallCompleted(counterId, Outcome.CONNECT_FAILED, 0));
            return;
        }
        counterService.add(counterId, amount, lifetime, (outcome, total) -> {
            metrics.counterFailures += outcome == Outcome.OK ? 0 : 1;
            listener.counterCallCompleted(counterId, outcome, total);
        });
    }

    void close() {
        if (counterService != null) {
            counterService.close();
        }
    }
}
