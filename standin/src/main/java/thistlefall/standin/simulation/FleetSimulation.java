package thistlefall.standin.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import thistlefall.Ports;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Request;
import thistlefall.Ports.Server;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.token.CustomerNumber;
import thistlefall.standin.check.QuotaAnalysis;
import thistlefall.standin.check.RuleCheckers;
import thistlefall.standin.check.RuleParameters;
import thistlefall.standin.check.RuleResult;
import thistlefall.standin.load.Arrival;
import thistlefall.standin.trace.Trace;

/**
 * Simulates the arrivals of a day on virtual time: many nodes with the real decision module, one counter of limited
 * capacity, and servers whose capacity is never exceeded. It uses no sockets and does not wait; the same day, seed and
 * strategy give the same trace. It measures quota decisions at fleet sizes that one machine cannot run over sockets.
 */
public final class FleetSimulation {
    /** The strategy that decides at the nodes. */
    public enum StrategyKind {
        /** The decision module. */
        MODULE,
        /** Each node grants a fixed share of each quota. */
        FIXED_PARTS,
        /** One counter call for each request; without a response the request is admitted. */
        PLAIN_COUNT_OPEN,
        /** One counter call for each request; without a response the request is refused. */
        PLAIN_COUNT_CLOSED
    }

    /**
     * Parameters of the systems around the nodes.
     *
     * @param counterPerSecond calls per second that the counter can carry out
     * @param counterRoundTrip network round trip to the counter, nanoseconds
     * @param counterQueueLimit calls that may wait in the queue of the counter
     * @param startSpread the nodes start at random times within this span, nanoseconds
     * @param serviceTime mean time that servers take, nanoseconds
     */
    public record SimulationParameters(
            double counterPerSecond, long counterRoundTrip, int counterQueueLimit, long startSpread, long serviceTime) {
        /** A fast counter and fast servers. */
        public static final SimulationParameters DEFAULT =
                new SimulationParameters(50_000, 200_000L, 10_000, 1_000_000L, 30_000_000L);
    }

    /** Schedules what happens to the fleet and its counter during the day. */
    public interface SimulationScript {
        /** Schedules the actions; called before the day begins. */
        void schedule(SimulationControl control);
    }

    /** What a script can do; times are nanoseconds from the day's beginning. */
    public final class SimulationControl {
        private SimulationControl() {}

        /** Runs an action at a time. */
        public void at(long offset, Runnable action) {
            scheduler.at(dayStart() + offset, action);
        }

        /**
         * Makes the counter silent or ends the silence; a silent counter carries no call out, and each call times out.
         */
        public void setCounterSilent(boolean silent) {
            counter.setSilent(silent);
        }

        /** Makes the counter lose all totals. */
        public void clearCounter() {
            counter.clear();
        }

        /** Sets the capacity of the counter and its network round trip, nanoseconds, from now on. */
        public void setCounterModel(double callsPerSecond, long roundTrip) {
            counter.setModel(
                    new SimulatedCounter.CounterModel(callsPerSecond, roundTrip, parameters.counterQueueLimit()));
        }

        /** Kills a node. */
        public void kill(int node) {
            events.add(Trace.TraceEvent.of(scheduler.now() - CLOCK_START, "player", "node-down")
                    .withNodeAndServer("edge-" + node, null));
            strategies.get(node).kill();
            strategies.set(node, null);
            // Requests that a server already has end when the server is done; all others are lost at once.
            pendingArrivals.entrySet().removeIf(entry -> {
                Arrival arrival = entry.getValue();
                boolean heldByNode = arrival.node() == node && !sentRequests.contains(entry.getKey());
                if (heldByNode) {
                    events.add(traceEvent("client", "answer", entry.getKey(), arrival, arrival.units())
                            .outcome("lost"));
                }
                return heldByNode;
            });
        }

        /** Starts a killed node again, with empty state. */
        public void restart(int node) {
            events.add(Trace.TraceEvent.of(scheduler.now() - CLOCK_START, "player", "node-up")
                    .withNodeAndServer("edge-" + node, null));
            strategies.set(node, strategyFactories.get(node).get());
        }
    }

    /**
     * Result of a simulation.
     *
     * @param quota quota figures, from the trace
     * @param verdicts results of the rule checkers on the trace
     * @param counterCalls calls to the counter
     * @param callsTurnedAway calls rejected because the queue of the counter was full
     * @param requests number of tries
     * @param events the trace
     */
    public record SimulationResult(
            QuotaAnalysis.QuotaStatistics quota,
            List<RuleResult> verdicts,
            long counterCalls,
            long callsTurnedAway,
            long requests,
            List<Trace.TraceEvent> events) {
        /** Returns the counter calls per request. */
        public double callsPerRequest() {
            return requests == 0 ? 0 : (double) counterCalls / requests;
        }
    }

    /** Virtual time at which the clock starts, nanoseconds; times in the trace count from here. */
    private static final long CLOCK_START = 1_000_000_000_000L;
    /** Time between the latest start of a node and the first arrival, nanoseconds. */
    private static final long ARRIVAL_LEAD = 500_000_000L;

    private final List<Arrival> arrivals;
    private final List<String> classes;
    private final List<String> plans;
    private final Ports.Settings moduleSettings;
    private final int nodeCount;
    private final SimulationParameters parameters;
    private final SplittableRandom random;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler(CLOCK_START);
    private final SimulatedCounter counter;
    private final List<AdmissionStrategy> strategies = new ArrayList<>();
    private final List<Supplier<AdmissionStrategy>> strategyFactories = new ArrayList<>();
    private final List<Trace.TraceEvent> events = new ArrayList<>();
    private final Map<String, Arrival> pendingArrivals = new HashMap<>();
    private final Set<String> sentRequests = new HashSet<>();

    private FleetSimulation(
            NodeSettings template,
            List<Arrival> arrivals,
            int nodeCount,
            long seed,
            StrategyKind strategy,
            SimulationParameters parameters) {
        this.arrivals = arrivals;
        this.nodeCount = nodeCount;
        this.parameters = parameters;
        random = new SplittableRandom(seed);
        classes = template.classes().stream()
                .map(NodeSettings.ClassSettings::name)
                .toList();
        plans = template.plans().stream().map(NodeSettings.PlanSettings::name).toList();
        moduleSettings = settings(template, 0);
        counter = new SimulatedCounter(
                scheduler,
                new SimulatedCounter.CounterModel(
                        parameters.counterPerSecond(), parameters.counterRoundTrip(), parameters.counterQueueLimit()),
                moduleSettings.counter().timeout());
        var sharedBuckets = new Baselines.CentralBucketStrategy.SharedBuckets();
        List<Server> servers = readyServers();
        for (int i = 0; i < nodeCount; i++) {
            int number = i;
            var nodeRandom = new SplittableRandom(random.nextLong());
            strategyFactories.add(() -> switch (strategy) {
                case MODULE -> new ModuleStrategy(
                        scheduler,
                        counter,
                        settings(template, number),
                        nodeRandom.nextLong(),
                        servers,
                        new NodeAdmissionListener(number));
                case FIXED_PARTS -> new Baselines.FixedShareStrategy(
                        scheduler, moduleSettings.plans(), nodeCount, new NodeAdmissionListener(number));
                case PLAIN_COUNT_OPEN -> new Baselines.CentralBucketStrategy(
                        scheduler,
                        counter,
                        moduleSettings.plans(),
                        sharedBuckets,
                        true,
                        new NodeAdmissionListener(number));
                case PLAIN_COUNT_CLOSED -> new Baselines.CentralBucketStrategy(
                        scheduler,
                        counter,
                        moduleSettings.plans(),
                        sharedBuckets,
                        false,
                        new NodeAdmissionListener(number));
            });
            strategies.add(null);
            scheduler.after(
                    (long) (random.nextDouble() * parameters.startSpread()),
                    () -> strategies.set(number, strategyFactories.get(number).get()));
        }
    }

    /**
     * Simulates arrivals.
     *
     * @param template settings of the nodes without what distinguishes one node from another
     * @param ruleParameters parameters of the rules, by the names in the template
     */
    public static SimulationResult run(
            NodeSettings template,
            RuleParameters ruleParameters,
            List<Arrival> arrivals,
            int nodeCount,
            long seed,
            StrategyKind strategy,
            SimulationParameters parameters) {
        return run(template, ruleParameters, arrivals, nodeCount, seed, strategy, parameters, control -> {});
    }

    /** Simulates arrivals with a script of what happens meanwhile. */
    public static SimulationResult run(
            NodeSettings template,
            RuleParameters ruleParameters,
            List<Arrival> arrivals,
            int nodeCount,
            long seed,
            StrategyKind strategy,
            SimulationParameters parameters,
            SimulationScript script) {
        var simulation = new FleetSimulation(template, arrivals, nodeCount, seed, strategy, parameters);
        script.schedule(simulation.new SimulationControl());
        return simulation.run(ruleParameters);
    }

    private long dayStart() {
        return CLOCK_START + ARRIVAL_LEAD + parameters.startSpread();
    }

    private Ports.Settings settings(NodeSettings template, int number) {
        List<String> zones = template.zones();
        var identity =
                new NodeSettings.Identity("edge-" + number, number, nodeCount, zones.get(number % zones.size()), null);
        return thistlefall.edge.settings.Defaults.moduleSettings(new NodeSettings(
                identity,
                null,
                zones,
                template.kinds(),
                template.classes(),
                template.routes(),
                template.plans(),
                template.access(),
                template.limits(),
                template.introspection(),
                template.counter(),
                template.servers(),
                template.rules()));
    }

    /** Returns so many servers that the concurrency level limits nothing. */
    private List<Server> readyServers() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < Math.max(20, 4 * nodeCount); i++) {
            servers.add(new Server("s" + i, 1, i % 3, 0, 0, Readiness.READY, 0));
        }
        return servers;
    }

    private SimulationResult run(RuleParameters ruleParameters) {
        long start = dayStart();
        for (Arrival arrival : arrivals) {
            scheduler.at(start + arrival.at(), () -> sendRequest(arrival));
        }
        long end = start
                + (arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).at())
                + 10_000_000_000L;
        scheduler.runUntil(end);
        var quota = QuotaAnalysis.measure(
                events, ruleParameters, moduleSettings.counter().largestRequestUnits(), nodeCount);
        return new SimulationResult(
                quota,
                RuleCheckers.check(events, ruleParameters),
                counter.calls(),
                counter.rejectedCalls(),
                arrivals.size(),
                events);
    }

    private Trace.TraceEvent traceEvent(String who, String event, String id, Arrival arrival, double units) {
        return Trace.TraceEvent.of(scheduler.now() - CLOCK_START, who, event)
                .request(id, arrival.op(), null)
                .withNodeAndServer("edge-" + arrival.node(), who.equals("server") ? "s" : null)
                .of(arrival.requestClass(), arrival.customer(), arrival.plan(), units);
    }

    private void sendRequest(Arrival arrival) {
        String id = arrival.op() + "/0";
        pendingArrivals.put(id, arrival);
        events.add(traceEvent("client", "ask", id, arrival, arrival.units()).within(arrival.patience()));
        AdmissionStrategy node = strategies.get(arrival.node());
        if (node == null) {
            pendingArrivals.remove(id);
            events.add(
                    traceEvent("client", "answer", id, arrival, arrival.units()).outcome("unreached"));
            return;
        }
        node.request(new Request(
                id,
                classes.indexOf(arrival.requestClass()),
                plans.indexOf(arrival.plan()),
                CustomerNumber.of(arrival.customer()),
                scheduler.now() + arrival.patience(),
                arrival.units(),
                nodeCount,
                0,
                false));
    }

    private final class NodeAdmissionListener implements AdmissionStrategy.AdmissionListener {
        private final int node;

        private NodeAdmissionListener(int node) {
            this.node = node;
        }

        @Override
        public void sent(String id) {
            Arrival arrival = pendingArrivals.get(id);
            sentRequests.add(id);
            events.add(traceEvent("server", "got", id, arrival, arrival.units()));
            double trueUnits = Math.max(1, Math.rint(arrival.units() * (0.6 + 0.8 * random.nextDouble())));
            long serviceTime = (long) (parameters.serviceTime() * (0.7 + 0.6 * random.nextDouble()));
            AdmissionStrategy admittingStrategy = strategies.get(node);
            scheduler.after(serviceTime, () -> {
                events.add(traceEvent("server", "done", id, arrival, trueUnits));
                sentRequests.remove(id);
                if (admittingStrategy == null || admittingStrategy != strategies.get(node)) {
                    // The node has been killed meanwhile, and its client connections with it.
                    pendingArrivals.remove(id);
                    events.add(traceEvent("client", "answer", id, arrival, arrival.units())
                            .outcome("lost"));
                    return;
                }
                events.add(traceEvent("client", "answer", id, arrival, arrival.units())
                        .outcome("served"));
                pendingArrivals.remove(id);
                strategies.get(node).completed(id, trueUnits, serviceTime);
            });
        }

        @Override
        public void refused(String id, String reason) {
            Arrival arrival = pendingArrivals.remove(id);
            events.add(traceEvent("client", "answer", id, arrival, arrival.units())
                    .outcome("refused")
                    .reason(reason));
        }
    }
}
