package thistlefall.standin.fault;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistlefall.Ports;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Reason;
import thistlefall.Ports.Result;
import thistlefall.Ports.Server;
import thistlefall.edge.node.NodeInterceptor;
import thistlefall.edge.serverlist.ServerEndpoint;
import thistlefall.edge.serverlist.ServerListSource;
import thistlefall.request.ResponseKind;

/**
 * Injects faults into one node, each at the interface where such a fault would occur. An instance must not be shared
 * between nodes. Times are in nanoseconds of the decision module's clock.
 */
public final class FaultInjector implements NodeInterceptor {
    private static final int DROPPED_RESPONSE_INTERVAL = 50;

    private final Set<InjectedFault> faults;
    /** The latest list entry of each server that the decision module was given. */
    private final Map<String, Server> knownServers = new HashMap<>();

    private long lastEventAt;
    private long coldStartDuration;
    private int responseCount;

    /** Creates an injector of the given faults; without faults it changes nothing. */
    public FaultInjector(Set<InjectedFault> faults) {
        this.faults = faults;
    }

    @Override
    public Ports.Settings overrideSettings(Ports.Settings settings) {
        coldStartDuration = settings.rules().coldStartDuration();
        if (!faults.contains(InjectedFault.NO_CEILING)) {
            return settings;
        }
        List<Ports.Plan> plans = settings.plans().stream()
                .map(p -> new Ports.Plan(
                        0, 0, p.maxInFlight(), p.price(), p.overQuotaEarnings(), p.overQuotaCost(), 0, 0, 0))
                .toList();
        return new Ports.Settings(
                settings.instance(),
                settings.gatewayCount(),
                settings.zone(),
                settings.timeGranularity(),
                settings.serverSizesMeaningful(),
                settings.loadReportNames(),
                settings.classes(),
                plans,
                settings.limits(),
                settings.counter(),
                settings.rules());
    }

    @Override
    public boolean deliversResponse(ResponseKind responseKind) {
        return !faults.contains(InjectedFault.LOSE_ANSWERS) || ++responseCount % DROPPED_RESPONSE_INTERVAL != 0;
    }

    @Override
    public Ports.Events wrapEvents(Ports.Events events) {
        boolean changed = faults.contains(InjectedFault.FALSE_PROOF) || faults.contains(InjectedFault.COLD_FIRST);
        return changed ? new FaultyEvents(events) : events;
    }

    @Override
    public Ports.Actions wrapActions(Ports.Actions actions) {
        return faults.contains(InjectedFault.COLD_FIRST) ? new FaultyActions(actions) : actions;
    }

    @Override
    public ServerListSource.ServerListListener wrapServerListListener(ServerListSource.ServerListListener listener) {
        return faults.contains(InjectedFault.DEAF_TO_DRAINS) ? new FrozenListListener(listener) : listener;
    }

    /** Passes each server on as it was last listed as ready, so that drains and removals never reach the node. */
    private static final class FrozenListListener implements ServerListSource.ServerListListener {
        private final ServerListSource.ServerListListener delegate;
        private final Map<String, ServerEndpoint> serversAsFirstListed = new LinkedHashMap<>();

        private FrozenListListener(ServerListSource.ServerListListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void fullList(long index, List<ServerEndpoint> endpoints) {
            endpoints.stream()
                    .filter(entry -> entry.server().readiness() == Readiness.READY)
                    .forEach(entry -> serversAsFirstListed.put(entry.server().id(), entry));
            delegate.fullList(index, List.copyOf(serversAsFirstListed.values()));
        }

        @Override
        public void sourceFailed(String reason) {
            delegate.sourceFailed(reason);
        }

        @Override
        public void sourceReset() {
            delegate.sourceReset();
        }
    }

    /** Alters events on their way to the decision module. */
    private final class FaultyEvents extends ForwardingEvents {
        private FaultyEvents(Ports.Events delegate) {
            super(delegate);
        }

        @Override
        public void serverListUpdated(long at, Ports.ListKind kind, List<Server> entries) {
            entries.forEach(server -> knownServers.put(server.id(), server));
            super.serverListUpdated(at, kind, entries);
        }

        @Override
        public void request(long at, Ports.Request request) {
            lastEventAt = at;
            super.request(at, request);
        }

        @Override
        public void attemptEnded(long at, Result result) {
            lastEventAt = at;
            boolean mayHaveRun = !result.outcome().provesNeverRan() && result.outcome() != Outcome.OK;
            super.attemptEnded(
                    at,
                    mayHaveRun && faults.contains(InjectedFault.FALSE_PROOF)
                            ? new Result(
                                    result.id(),
                                    Outcome.CONNECT_FAILED,
                                    result.duration(),
                                    result.server(),
                                    result.responseComplete(),
                                    result.attempt(),
                                    result.trueUnits(),
                                    result.report())
                            : result);
        }

        @Override
        public void counterCallEnded(long at, long name, Outcome outcome, double total) {
            lastEventAt = at;
            super.counterCallEnded(at, name, outcome, total);
        }

        @Override
        public void timerExpired(long at, long token) {
            lastEventAt = at;
            super.timerExpired(at, token);
        }
    }

    /** Alters actions that the decision module requests of its host. */
    private final class FaultyActions implements Ports.Actions {
        private final Ports.Actions delegate;

        private FaultyActions(Ports.Actions delegate) {
            this.delegate = delegate;
        }

        @Override
        public void send(String id, String server, long patience, Ports.SendConditions conditions) {
            delegate.send(
                    id,
                    knownServers.values().stream()
                            .filter(s ->
                                    s.readiness() == Readiness.READY && s.startedAt() > lastEventAt - coldStartDuration)
                            .max(Comparator.comparingLong(Server::startedAt))
                            .map(Server::id)
                            .orElse(server),
                    patience,
                    conditions);
        }

        @Override
        public void withdraw(String id) {
            delegate.withdraw(id);
        }

        @Override
        public void refuse(String id, long retryAfter, Reason reason) {
            delegate.refuse(id, retryAfter, reason);
        }

        @Override
        public void fail(String id) {
            delegate.fail(id);
        }

        @Override
        public void probe(String server) {
            delegate.probe(server);
        }

        @Override
        public void addToCounter(long name, double amount, long lifetime) {
            delegate.addToCounter(name, amount, lifetime);
        }

        @Override
        public void scheduleTimer(long token, long span) {
            delegate.scheduleTimer(token, span);
        }

        @Override
        public void subscribeToServerList() {
            delegate.subscribeToServerList();
        }

        @Override
        public void log(String text) {
            delegate.log(text);
        }
    }
}
