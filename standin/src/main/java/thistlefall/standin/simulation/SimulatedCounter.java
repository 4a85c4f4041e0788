package thistlefall.standin.simulation;

import java.util.HashMap;
import java.util.Map;
import thistlefall.Ports.Outcome;

/**
 * Shared counter on virtual time. Calls wait in one queue and each takes its service time. A call whose response would
 * come after the timeout is reported to its caller as timed out but is carried out all the same.
 */
final class SimulatedCounter {
    /**
     * Capacity and distance of the counter.
     *
     * @param callsPerSecond calls that it can carry out per second
     * @param roundTrip network round trip, nanoseconds
     * @param queueLimit calls that may wait in the queue; more are rejected
     */
    record CounterModel(double callsPerSecond, long roundTrip, int queueLimit) {}

    /** Receives the outcome of a call, and the new total if it is {@link Outcome#OK}. */
    interface CountCallback {
        void done(Outcome outcome, double total);
    }

    private record CounterEntry(double total, long expiresAt) {}

    private final VirtualTimeScheduler scheduler;
    private final long timeout;
    private final Map<Long, CounterEntry> entries = new HashMap<>();
    private CounterModel model;
    private long freeAt;
    private long calls;
    private long rejectedCalls;
    private boolean silent;

    SimulatedCounter(VirtualTimeScheduler scheduler, CounterModel model, long timeout) {
        this.scheduler = scheduler;
        this.model = model;
        this.timeout = timeout;
    }

    long calls() {
        return calls;
    }

    long rejectedCalls() {
        return rejectedCalls;
    }

    void setModel(CounterModel newModel) {
        model = newModel;
    }

    void setSilent(boolean newSilent) {
        silent = newSilent;
    }

    void clear() {
        entries.clear();
    }

    void add(long name, double amount, long lifetime, CountCallback callback) {
        calls++;
        long serviceTime = (long) (1e9 / model.callsPerSecond());
        long arrivesAt = scheduler.now() + model.roundTrip() / 2;
        long startsAt = Math.max(freeAt, arrivesAt);
        if ((startsAt - arrivesAt) / serviceTime > model.queueLimit()) {
            rejectedCalls++;
            scheduler.after(model.roundTrip(), () -> callback.done(Outcome.FULL, 0));
            return;
        }
        if (silent) {
            scheduler.after(timeout, () -> callback.done(Outcome.TIMEOUT, 0));
            return;
        }
        freeAt = startsAt + serviceTime;
        long responseDelay = freeAt + model.roundTrip() / 2 - scheduler.now();
        double[] total = new double[1];
        scheduler.at(freeAt, () -> total[0] = applyCall(name, amount, lifetime));
        if (responseDelay > timeout) {
            scheduler.after(timeout, () -> callback.done(Outcome.TIMEOUT, 0));
        } else {
            scheduler.after(responseDelay, () -> callback.done(Outcome.OK, total[0]));
        }
    }

    private double applyCall(long name, double amount, long lifetime) {
        CounterEntry previous = entries.get(name);
        CounterEntry updated = previous == null || previous.expiresAt <= scheduler.now()
                ? new CounterEntry(amount, scheduler.now() + lifetime)
                : new CounterEntry(previous.total + amount, previous.expiresAt);
        entries.put(name, updated);
        return updated.total;
    }
}
