package thistlefall.standin.day;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.DoubleConsumer;
import thistlefall.Ports;
import thistlefall.Ports.Plan;
import thistlefall.Ports.RequestClass;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.check.QuotaAnalysis;
import thistlefall.standin.check.RuleCheckers;
import thistlefall.standin.check.RuleParameters;
import thistlefall.standin.check.RuleResult;
import thistlefall.standin.fault.InjectedFault;
import thistlefall.standin.load.Arrival;
import thistlefall.standin.load.ArrivalGenerator;
import thistlefall.standin.trace.Trace;

/** Rehearses a day: runs stand-ins, nodes, clients and troubles over real sockets, then the checkers on the trace. */
public final class Rehearsal {
    /**
     * Result of a rehearsal.
     *
     * @param requests tries that clients sent
     * @param outcomeCounts how the tries ended, counted by outcome
     * @param requestsWithoutResponse tries without a response that no downtime of a node excuses
     * @param ruleResults results of the rule checkers
     * @param quota how quotas were kept and granted, from the trace
     * @param counterCalls calls that the counter carried out
     * @param figures figures of the components, by component
     * @param trace the recorded trace
     * @param traceTruncated whether the trace is incomplete, so that no verdict can rest on it
     */
    public record RehearsalResult(
            Day day,
            long seed,
            String runner,
            long requests,
            Map<String, Long> outcomeCounts,
            long requestsWithoutResponse,
            List<RuleResult> ruleResults,
            QuotaAnalysis.QuotaStatistics quota,
            long counterCalls,
            Map<String, Map<String, Object>> figures,
            Trace trace,
            boolean traceTruncated) {
        /** Returns the counter calls per request. */
        public double callsPerRequest() {
            return requests == 0 ? 0 : (double) counterCalls / requests;
        }

        /** Returns whether every rule was kept on a complete trace. */
        public boolean rulesKept() {
            return !traceTruncated && ruleResults.stream().allMatch(v -> v.violations() == 0);
        }
    }

    /** How long the nodes get to receive the server list before the first request. */
    private static final long SERVER_LIST_WAIT_MS = 700;
    /** How long after the end of the day the clients get to finish. */
    private static final long MAX_OVERTIME_MS = 10_000;

    private Rehearsal() {}

    /**
     * Rehearses a day.
     *
     * @param progress receives the completed fraction of the day from time to time
     * @throws IOException if a stand-in or a node cannot be started
     */
    public static RehearsalResult run(
            Day day, long seed, NodeRunner runner, Set<InjectedFault> faults, DoubleConsumer progress)
            throws IOException, InterruptedException {
        ScheduledExecutorService troubleExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "script");
            thread.setDaemon(true);
            return thread;
        });
        try (RehearsalEnvironment environment = new RehearsalEnvironment(day, seed, runner, faults)) {
            // The nodes must have received the server list before the day begins.
            Thread.sleep(SERVER_LIST_WAIT_MS);
            List<Arrival> arrivals = ArrivalGenerator.generate(day, seed);
            new TroubleScheduler(environment, troubleExecutor).schedule(seed);
            long start = System.nanoTime();
            environment.clientLoop.execute(() -> environment.loadGenerator.run(arrivals));
            long lengthMillis = day.length().toMillis();
            long maxMillis = lengthMillis + MAX_OVERTIME_MS;
            for (long elapsedMillis = 0;
                    elapsedMillis < maxMillis;
                    elapsedMillis = (System.nanoTime() - start) / 1_000_000) {
                progress.accept(Math.min(1, elapsedMillis / (double) lengthMillis));
                boolean clientsDone = environment
                        .clientLoop
                        .submit(environment.loadGenerator::isFinished)
                        .syncUninterruptibly()
                        .getNow();
                if (elapsedMillis > lengthMillis && clientsDone) {
                    break;
                }
                Thread.sleep(Math.min(200, Math.max(20, lengthMillis / 50)));
            }
            return buildResult(environment, seed, runner.name());
        } finally {
            troubleExecutor.shutdownNow();
        }
    }

    private static RehearsalResult buildResult(RehearsalEnvironment environment, long seed, String runnerName) {
        Day day = environment.day;
        List<Trace.TraceEvent> events = environment.trace.events();
        RuleParameters parameters = ruleParameters(day, environment.nodeSettings(0));
        List<RuleResult> verdicts = RuleCheckers.check(events, parameters);
        QuotaAnalysis.QuotaStatistics quota = QuotaAnalysis.measure(
                events,
                parameters,
                Defaults.moduleSettings(environment.nodeSettings(0)).counter().largestRequestUnits(),
                day.nodes());
        long requests = events.stream().filter(l -> l.event().equals("ask")).count();
        Map<String, Long> responses = new LinkedHashMap<>();
        for (String kind :
                List.of("served", "refused", "failed", "denied", "invalid", "unreached", "lost", "gave-up", "cut")) {
            responses.put(
                    kind,
                    events.stream()
                            .filter(l -> l.event().equals("answer") && kind.equals(l.outcome()))
                            .count());
        }
        return new RehearsalResult(
                day,
                seed,
                runnerName,
                requests,
                responses,
                verdicts.get(0).violations(),
                verdicts,
                quota,
                environment.counterServer.calls(),
                componentFigures(environment, events),
                environment.trace,
                environment.trace.truncated());
    }

    /** Returns the parameters of the rules on a day. */
    public static RuleParameters ruleParameters(Day day, NodeSettings nodeSettings) {
        Ports.Settings settings = Defaults.moduleSettings(nodeSettings);
        Map<String, RequestClass> classes = new HashMap<>();
        Map<String, Plan> plans = new HashMap<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(
                    day.settings().classes().get(i).name(), settings.classes().get(i));
        }
        for (int i = 0; i < settings.plans().size(); i++) {
            plans.put(day.settings().plans().get(i).name(), settings.plans().get(i));
        }
        return new RuleParameters(
                classes,
                plans,
                day.drainGrace().toNanos(),
                day.allowance().toNanos(),
                settings.rules().coldStartDuration(),
                settings.rules().overloadMultiple(),
                settings.rules().overloadDuration());
    }

    private static Map<String, Map<String, Object>> componentFigures(
            RehearsalEnvironment environment, List<Trace.TraceEvent> events) {
        Map<String, Map<String, Object>> figures = new LinkedHashMap<>();
        var servedLatencies = environment.loadGenerator.servedLatencies();
        Map<String, Object> clientFigures = new LinkedHashMap<>(environment.loadGenerator.outcomes());
        clientFigures.put("served_p50_ms", servedLatencies.getValueAtPercentile(50) / 1e3);
        clientFigures.put("served_p99_ms", servedLatencies.getValueAtPercentile(99) / 1e3);
        figures.put("clients", clientFigures);
        figures.put(
                "app_servers",
                new LinkedHashMap<>(Map.of(
                        "attempts",
                        countServerEvents(events, "got"),
                        "ran",
                        countServerEvents(events, "ran"),
                        "turned_away_unseen",
                        countServerEvents(events, "unseen"),
                        "repeats_dropped",
                        countServerEvents(events, "dropped"),
                        "fell_over",
                        countServerEvents(events, "fell"))));
        figures.put("introspection", Map.of("calls", environment.introspectionServer.callCount()));
        figures.put("counter", Map.of("transactions", environment.counterServer.calls()));
        figures.put(
                "nuisance",
                new LinkedHashMap<>(Map.of(
                        "malformed_sent",
                        environment.misbehavingClients.malformedSent(),
                        "malformed_turned_away",
                        environment.misbehavingClients.malformedRejected(),
                        "slow_clients",
                        environment.misbehavingClients.slowClients())));
        Map<String, Object> nodeFigures = new LinkedHashMap<>();
        for (int i = 0; i < environment.runningNodes.size(); i++) {
            nodeFigures.put(
                    environment.nodeName(i), environment.runningNodes.get(i).metrics());
        }
        figures.put("nodes_say", nodeFigures);
        return figures;
    }

    private static long countServerEvents(List<Trace.TraceEvent> events, String event) {
        return events.stream()
                .filter(l -> l.who().equals("server") && l.event().equals(event))
                .count();
    }

    /** Returns the problems of a day that its types do not rule out; empty if there are none. */
    public static List<String> validate(Day day) {
        List<String> problems = new ArrayList<>();
        List<String> classes =
                day.settings().classes().stream().map(c -> c.name()).toList();
        List<String> plans = day.settings().plans().stream().map(p -> p.name()).toList();
        for (int i = 0; i < day.troubles().size(); i++) {
            Day.Trouble trouble = day.troubles().get(i);
            if (!TroubleScheduler.isKnown(trouble.name())) {
                problems.add("troubles[" + i + "].name: unknown trouble " + trouble.name() + "; there are "
                        + String.join(", ", TroubleScheduler.troubleNames()));
            }
        }
        day.customers().stream()
                .filter(c -> !plans.contains(c.plan()))
                .forEach(c -> problems.add("customers: " + c.name() + " has the unknown plan " + c.plan()));
        day.mix().keySet().stream()
                .filter(name -> !classes.contains(name))
                .forEach(name -> problems.add("mix: unknown class " + name));
        if (day.servers().isEmpty() || day.nodes() < 1 || day.nodes() > 250) {
            problems.add("a day needs a server and 1 to 250 nodes");
        }
        return problems;
    }
}
