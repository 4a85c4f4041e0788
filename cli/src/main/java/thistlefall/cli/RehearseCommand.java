package thistlefall.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.DoubleConsumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thistlefall.cli.settings.DayFiles;
import thistlefall.standin.check.QuotaAnalysis;
import thistlefall.standin.check.RuleResult;
import thistlefall.standin.day.Day;
import thistlefall.standin.day.InProcessNodeRunner;
import thistlefall.standin.day.NodeRunner;
import thistlefall.standin.day.Rehearsal;
import thistlefall.standin.fault.InjectedFault;

/** Sub-command {@code rehearse}: plays a day over real sockets and checks the five rules on the recorded trace. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a day of trouble: edge nodes, stand-ins and clients on loopback sockets; "
                    + "then checks the five rules on what went over the sockets.",
            "Exit status 0: all rules kept; 1: a rule broken; 2: bad input; 3: could not run."
        })
final class RehearseCommand implements Callable<Integer> {
    /** Where the nodes run: each in a process of its own, or all in this process. */
    enum RunnerKind {
        daemon,
        library
    }

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "DAY",
            description = "a bundled day or a file (default: bad-day)")
    private String day;

    @Option(names = "--list", description = "lists the bundled days")
    private boolean list;

    @Option(
            names = "--via",
            defaultValue = "library",
            description =
                    "nodes in this process, or each in its own: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private RunnerKind via;

    @Option(names = "--seed", paramLabel = "N", description = "seed to use in place of the day's own")
    private Long seed;

    @Option(names = "--json", description = "prints one JSON object on standard output")
    private boolean json;

    @Option(
            names = "--trace",
            paramLabel = "DIR",
            description = "writes the trace recorded at the sockets to DIR/trace.jsonl")
    private Path traceFolder;

    @Option(
            names = "--break",
            paramLabel = "FAULT",
            converter = FaultConverter.class,
            description =
                    "injects a fault into the nodes, to see it detected: lose-answers, false-proof, deaf-to-drains, "
                            + "cold-first, no-ceiling")
    private InjectedFault fault;

    @Override
    public Integer call() throws Exception {
        if (list) {
            for (String name : DayFiles.BUNDLED) {
                Day bundled = DayFiles.read(name);
                System.out.printf("%-12s %4d s  %s%n", name, bundled.length().toSeconds(), bundled.title());
            }
            return 0;
        }
        Day selectedDay = DayFiles.read(day == null ? DayFiles.BUNDLED.get(0) : day);
        Set<InjectedFault> faults = fault == null ? Set.of() : EnumSet.of(fault);
        Path folder = Files.createTempDirectory("thistlefall-rehearsal");
        boolean keepFolder = false;
        try {
            NodeRunner runner = via == RunnerKind.daemon ? new ProcessNodeRunner(folder) : new InProcessNodeRunner();
            Rehearsal.RehearsalResult result = Rehearsal.run(
                    selectedDay, seed == null ? selectedDay.seed() : seed, runner, faults, progress(System.err));
            if (traceFolder != null) {
                System.err.println("trace: " + result.trace().write(traceFolder));
            }
            if (json) {
                System.out.println(toJson(result));
            } else {
                printResult(result, System.out);
            }
            keepFolder = !result.rulesKept() && via == RunnerKind.daemon;
            if (keepFolder) {
                System.err.println("logs of the nodes: " + folder);
            }
            return result.rulesKept() ? 0 : Main.RULE_BROKEN;
        } finally {
            if (!keepFolder) {
                deleteRecursively(folder);
            }
        }
    }

    private static void deleteRecursively(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Draws a progress bar if standard error is a console; otherwise does nothing. */
    private static DoubleConsumer progress(PrintStream out) {
        if (System.console() == null) {
            return fraction -> {};
        }
        return fraction -> {
            int filled = (int) (fraction * 40);
            out.print("\r[" + "#".repeat(filled) + " ".repeat(40 - filled) + "] " + (int) (fraction * 100) + " %"
                    + (fraction >= 1 ? "\n" : ""));
            out.flush();
        };
    }

    private static ObjectNode toJson(Rehearsal.RehearsalResult result) {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        root.put("day", result.day().name())
                .put("seed", result.seed())
                .put("via", result.runner())
                .put("requests", result.requests());
        root.set("answers", mapper.valueToTree(result.outcomeCounts()));
        root.put("unanswered", result.requestsWithoutResponse())
                .put("kept", result.rulesKept())
                .put("trace_cut", result.traceTruncated());
        var rules = root.putArray("rules");
        for (RuleResult ruleResult : result.ruleResults()) {
            rules.addObject()
                    .put("rule", ruleResult.rule())
                    .put("checked", ruleResult.checked())
                    .put("broken", ruleResult.violations())
                    .put("first", ruleResult.firstViolation());
        }
        root.set("quota", quotaToJson(result, mapper));
        var troubles = root.putArray("troubles");
        for (Day.Trouble trouble : result.day().troubles()) {
            long startMillis = trouble.at().toMillis();
            troubles.addObject()
                    .put("name", trouble.name())
                    .put("from_ms", startMillis)
                    .put(
                            "to_ms",
                            startMillis
                                    + (trouble.len() == null ? 0 : trouble.len().toMillis()));
        }
        result.figures().forEach((component, figures) -> root.set(component, mapper.valueToTree(figures)));
        return root;
    }

    private static ObjectNode quotaToJson(Rehearsal.RehearsalResult result, ObjectMapper mapper) {
        QuotaAnalysis.QuotaStatistics quota = result.quota();
        ObjectNode node = mapper.createObjectNode();
        node.put("tries", quota.tries())
                .put("tries_with_room", quota.triesWithRoom())
                .put("refused_with_room", quota.refusedWithRoom())
                .put("refused_part", quota.refusedFraction())
                .put("units_beyond", quota.unitsOverQuota())
                .put("worst_beyond", quota.largestOveruse())
                .put("customers_beyond", quota.customersOverQuota())
                .put("calls_per_request", result.callsPerRequest());
        node.set("by_plan", refusalsToJson(quota.byPlan(), mapper));
        node.set("by_class", refusalsToJson(quota.byClass(), mapper));
        node.set("by_trouble", refusalsToJson(quota.byTrouble(), mapper));
        node.set("by_reason", mapper.valueToTree(quota.byReason()));
        return node;
    }

    private static ObjectNode refusalsToJson(Map<String, QuotaAnalysis.RefusalCount> refusals, ObjectMapper mapper) {
        ObjectNode node = mapper.createObjectNode();
        refusals.forEach((name, count) ->
                node.putObject(name).put("refused", count.refused()).put("with_room", count.withRoom()));
        return node;
    }

    private static void printResult(Rehearsal.RehearsalResult result, PrintStream out) {
        out.printf(
                "day %s, seed %d, via %s: %d requests%n",
                result.day().name(), result.seed(), result.runner(), result.requests());
        result.outcomeCounts().forEach((kind, count) -> out.printf("  %-10s %7d%n", kind, count));
        out.println("rule    checked   broken");
        for (RuleResult ruleResult : result.ruleResults()) {
            out.printf(
                    "%4d  %9d  %7d  %s%n",
                    ruleResult.rule(),
                    ruleResult.checked(),
                    ruleResult.violations(),
                    ruleResult.firstViolation() == null ? "" : ruleResult.firstViolation());
        }
        QuotaAnalysis.QuotaStatistics quota = result.quota();
        out.printf(
                "quota: %d of %d tries with room refused (%.2f %%), %.1f units beyond, %.2f calls a request%n",
                quota.refusedWithRoom(),
                quota.triesWithRoom(),
                100 * quota.refusedFraction(),
                quota.unitsOverQuota(),
                result.callsPerRequest());
        result.figures().forEach((component, figures) -> out.println(component + ": " + figures));
        out.println(result.rulesKept() ? "all rules kept" : "RULES BROKEN");
    }
}
