package thistlefall.standin.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.Gateway;
import thistlefall.Ports;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Reason;
import thistlefall.Ports.Request;
import thistlefall.Ports.Result;
import thistlefall.Ports.Server;

/** Runs the real decision module as a simulated node. */
final class ModuleStrategy implements AdmissionStrategy, Ports.Actions {
    private final VirtualTimeScheduler scheduler;
    private final SimulatedCounter counter;
    private final AdmissionStrategy.AdmissionListener listener;
    private final Map<String, String> serverByRequest = new HashMap<>();
    private final Gateway gateway;
    private boolean stopped;

    ModuleStrategy(
            VirtualTimeScheduler scheduler,
            SimulatedCounter counter,
            Ports.Settings settings,
            long seed,
            List<Server> servers,
            AdmissionStrategy.AdmissionListener listener) {
        this.scheduler = scheduler;
        this.counter = counter;
        this.listener = listener;
        gateway = new Gateway(settings, seed, scheduler.now(), this);
        gateway.serverListUpdated(scheduler.now(), Ports.ListKind.FULL, servers);
    }

    @Override
    public void kill() {
        stopped = true;
    }

    @Override
    public void request(Request request) {
        gateway.request(scheduler.now(), request);
    }

    @Override
    public void completed(String id, double trueUnits, long duration) {
        if (!stopped) {
            gateway.attemptEnded(
                    scheduler.now(),
                    new Result(id, Outcome.OK, duration, serverByRequest.remove(id), true, 0, trueUnits, List.of()));
        }
    }

    @Override
    public void send(String id, String server, long patience, Ports.SendConditions conditions) {
        serverByRequest.put(id, server);
        listener.sent(id);
    }

    @Override
    public void withdraw(String id) {
        // Requests are sent at once here: none waits.
    }

    @Override
    public void refuse(String id, long retryAfter, Reason reason) {
        listener.refused(id, reason.name().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public void fail(String id) {
        listener.refused(id, "failed");
    }

    @Override
    public void probe(String server) {
        scheduler.after(
                1_000_000, () -> gateway.probeEnded(scheduler.now(), server, Outcome.OK, 1_000_000, List.of(0.0, 0.0)));
    }

    @Override
    public void addToCounter(long name, double amount, long lifetime) {
        counter.add(name, amount, lifetime, (outcome, total) -> {
            if (!stopped) {
                gateway.counterCallEnded(scheduler.now(), name, outcome, total);
            }
        });
    }

    @Override
    public void scheduleTimer(long token, long span) {
        scheduler.after(span, () -> {
            if (!stopped) {
                gateway.timerExpired(scheduler.now(), token);
            }
        });
    }

    @Override
    public void subscribeToServerList() {
        // The constructor has given the full list, which never changes.
    }

    @Override
    public void log(String text) {
        // Log texts are not needed; the results come from the trace.
    }
}
