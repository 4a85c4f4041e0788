package thistlefall.standin.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import thistlefall.Ports.Plan;
import thistlefall.standin.trace.Trace;

/**
 * Measures from the trace alone how well quotas were kept and granted. Each customer has one exact token bucket with
 * the rate and burst of its plan, charged with what the app servers were sent. A try has room if the bucket holds its
 * estimated units when it arrives, after everything that arrived earlier and was forwarded. Refusing a try with room
 * is an unnecessary refusal; forwarding one without room exceeds the quota.
 */
public final class QuotaAnalysis {
    /**
     * Quota figures of one trace.
     *
     * @param tries tries of customers whose plan has a quota
     * @param triesWithRoom tries for which the bucket held enough units
     * @param refusedWithRoom tries with room that were refused
     * @param unitsOverQuota units forwarded beyond the quota: the sum over all customers of the deepest deficit of
     *     their buckets
     * @param largestOveruse the largest deficit of one customer, in units
     * @param customersOverQuota customers whose deficit exceeded one largest request for each node
     * @param byPlan refused tries and all tries with room, by plan
     * @param byClass the same by request class
     * @param byTrouble the same by the troubles that were active, {@code none} if there was none
     * @param byReason refused tries with room, by the reason that the response gave
     */
    public record QuotaStatistics(
            long tries,
            long triesWithRoom,
            long refusedWithRoom,
            double unitsOverQuota,
            double largestOveruse,
            long customersOverQuota,
            Map<String, RefusalCount> byPlan,
            Map<String, RefusalCount> byClass,
            Map<String, RefusalCount> byTrouble,
            Map<String, Long> byReason) {
        /** Returns the fraction of the tries with room that were refused. */
        public double refusedFraction() {
            return triesWithRoom == 0 ? 0 : (double) refusedWithRoom / triesWithRoom;
        }
    }

    /** Refused tries and all tries, counting only those with room. */
    public record RefusalCount(long refused, long withRoom) {
        private RefusalCount plus(boolean wasRefused) {
            return new RefusalCount(refused + (wasRefused ? 1 : 0), withRoom + 1);
        }
    }

    /** Tolerance for floating-point rounding, in units. */
    private static final double ROUNDING_UNITS = 1e-6;
    /** For how long after its end requests are still attributed to a trouble. */
    private static final long AFTERMATH_NANOS = 1_000_000_000L;

    /** Exact token bucket of one customer; its units may fall below zero. */
    private static final class QuotaBucket {
        private final Plan plan;
        private double units;
        private double lowestUnits;
        private long refilledAt;

        private QuotaBucket(Plan plan, long now) {
            this.plan = plan;
            units = plan.burst();
            this.refilledAt = now;
        }

        private void refill(long now) {
            units = Math.min(plan.burst(), units + Math.max(0, now - refilledAt) / 1e9 * plan.rate());
            refilledAt = Math.max(refilledAt, now);
        }

        private void takeUnits(double amount) {
            units = Math.min(plan.burst(), units - amount);
            lowestUnits = Math.min(lowestUnits, units);
        }
    }

    /**
     * What happened to a try: whether it reached a server, whether it was refused, and whether its units were charged.
     */
    private static final class ClientTry {
        private boolean sentToServer;
        private boolean refused;
        private String reason;
        private boolean charged;
    }

    private final RuleParameters parameters;
    private final double largestRequest;
    private final int nodeCount;
    private final Map<String, ClientTry> tries = new HashMap<>();
    private final Map<String, QuotaBucket> buckets = new HashMap<>();
    private final Map<String, RefusalCount> byPlan = new TreeMap<>();
    private final Map<String, RefusalCount> byClass = new TreeMap<>();
    private final Map<String, RefusalCount> byTrouble = new TreeMap<>();
    private final Map<String, Long> byReason = new TreeMap<>();
    private final Map<String, Long> troubleEnds = new TreeMap<>();
    private long tryCount;
    private long triesWithRoom;
    private long refusedWithRoom;

    private QuotaAnalysis(RuleParameters parameters, double largestRequest, int nodeCount) {
        this.parameters = parameters;
        this.largestRequest = largestRequest;
        this.nodeCount = nodeCount;
    }

    /**
     * Measures a trace.
     *
     * @param events the trace, ordered by time
     * @param largestRequest units of the largest request
     * @param nodeCount number of nodes
     */
    public static QuotaStatistics measure(
            List<Trace.TraceEvent> events, RuleParameters parameters, double largestRequest, int nodeCount) {
        return new QuotaAnalysis(parameters, largestRequest, nodeCount).analyze(events);
    }

    private QuotaStatistics analyze(List<Trace.TraceEvent> events) {
        for (Trace.TraceEvent event : events) {
            if (event.id() == null) {
                continue;
            }
            ClientTry clientTry = tries.computeIfAbsent(event.id(), id -> new ClientTry());
            if (event.who().equals("server") && event.event().equals("got")) {
                clientTry.sentToServer = true;
            } else if (event.event().equals("answer") && "refused".equals(event.outcome())) {
                clientTry.refused = true;
                clientTry.reason = event.reason();
            }
        }
        Map<String, Double> estimatedUnits = new HashMap<>();
        for (Trace.TraceEvent event : events) {
            switch (event.event()) {
                case "ask" -> recordRequest(event, estimatedUnits);
                case "done" -> recordTrueUnits(event, estimatedUnits);
                case "trouble-on" -> troubleEnds.put(event.outcome(), Long.MAX_VALUE);
                case "trouble-off" -> troubleEnds.put(event.outcome(), event.t() + AFTERMATH_NANOS);
                default -> {}
            }
        }
        double unitsOverQuota = buckets.values().stream()
                .mapToDouble(bucket -> -bucket.lowestUnits)
                .sum();
        double largestOveruse = buckets.values().stream()
                .mapToDouble(bucket -> -bucket.lowestUnits)
                .max()
                .orElse(0);
        long customersOverQuota = buckets.values().stream()
                .filter(bucket -> -bucket.lowestUnits > largestRequest * nodeCount + ROUNDING_UNITS)
                .count();
        return new QuotaStatistics(
                tryCount,
                triesWithRoom,
                refusedWithRoom,
                unitsOverQuota,
                largestOveruse,
                customersOverQuota,
                byPlan,
                byClass,
                byTrouble,
                byReason);
    }

    private void recordRequest(Trace.TraceEvent event, Map<String, Double> estimatedUnits) {
        Plan plan = parameters.plans().get(event.plan());
        if (plan == null || plan.rate() <= 0) {
            return;
        }
        QuotaBucket bucket = buckets.computeIfAbsent(event.customer(), c -> new QuotaBucket(plan, event.t()));
        bucket.refill(event.t());
        ClientTry clientTry = tries.get(event.id());
        boolean hasRoom = bucket.units >= event.units() - ROUNDING_UNITS;
        tryCount++;
        if (hasRoom) {
            triesWithRoom++;
            boolean wasRefused = clientTry.refused;
            refusedWithRoom += wasRefused ? 1 : 0;
            byPlan.merge(event.plan(), new RefusalCount(wasRefused ? 1 : 0, 1), (count, b) -> count.plus(wasRefused));
            byClass.merge(event.cls(), new RefusalCount(wasRefused ? 1 : 0, 1), (count, b) -> count.plus(wasRefused));
            byTrouble.merge(
                    activeTroubles(event.t()),
                    new RefusalCount(wasRefused ? 1 : 0, 1),
                    (count, b) -> count.plus(wasRefused));
            if (wasRefused) {
                byReason.merge(clientTry.reason == null ? "untold" : clientTry.reason, 1L, Long::sum);
            }
        }
        // If a request beyond the quota earns more than it costs under the plan, forwarding it is not a fault, and its
        // units are not taken from the bucket.
        boolean overuseWelcome = plan.overQuotaEarnings() > plan.overQuotaCost();
        if (clientTry.sentToServer && (hasRoom || !overuseWelcome)) {
            clientTry.charged = true;
            bucket.takeUnits(event.units());
            estimatedUnits.put(event.id(), event.units());
        }
    }

    private void recordTrueUnits(Trace.TraceEvent event, Map<String, Double> estimatedUnits) {
        Double estimate = estimatedUnits.remove(event.id());
        QuotaBucket bucket = buckets.get(event.customer());
        if (estimate != null && bucket != null) {
            bucket.refill(event.t());
            bucket.takeUnits(event.units() - estimate);
        }
    }

    private String activeTroubles(long now) {
        Set<String> active = new HashSet<>();
        troubleEnds.forEach((name, attributedUntil) -> {
            if (now <= attributedUntil) {
                active.add(name);
            }
        });
        return active.isEmpty()
                ? "none"
                : String.join("+", new ArrayList<>(active).stream().sorted().toList());
    }
}
