package thistlefall.standin.check;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import thistlefall.Ports.Plan;
import thistlefall.standin.trace.Trace;

/**
 * Rule 5: what all nodes together forward for a customer with a ceiling never exceeds the ceiling by more than the
 * plan's slack. Only the first attempt of a try counts, with the client's estimate of its units.
 */
final class CeilingRule extends RuleChecker {
    /** Token bucket of one customer; its units fall below zero when the ceiling is exceeded. */
    private static final class CeilingBucket {
        private double units;
        private long refilledAt;

        private CeilingBucket(double units) {
            this.units = units;
        }
    }

    private final Map<String, CeilingBucket> buckets = new HashMap<>();
    private final Map<String, String> planByCustomer = new HashMap<>();
    private final Map<String, Double> estimatedUnits = new HashMap<>();

    CeilingRule(RuleParameters parameters) {
        super(5, parameters);
    }

    @Override
    void checkEvents(List<Trace.TraceEvent> events) {
        for (Trace.TraceEvent event : events) {
            if (event.event().equals("ask")) {
                planByCustomer.put(event.customer(), event.plan());
                estimatedUnits.put(event.id(), event.units());
            }
        }
        for (Trace.TraceEvent event : events) {
            boolean firstAttempt = event.who().equals("server")
                    && event.event().equals("got")
                    && estimatedUnits.containsKey(event.id());
            if (firstAttempt) {
                checkForwarded(event, estimatedUnits.remove(event.id()));
            }
        }
    }

    private void checkForwarded(Trace.TraceEvent event, double units) {
        Plan plan = parameters.plans().get(planByCustomer.getOrDefault(event.customer(), ""));
        if (plan == null || plan.ceilingRate() <= 0) {
            return;
        }
        countCheckedCase();
        CeilingBucket bucket = buckets.computeIfAbsent(event.customer(), c -> new CeilingBucket(plan.ceilingBurst()));
        bucket.units =
                Math.min(plan.ceilingBurst(), bucket.units + (event.t() - bucket.refilledAt) / 1e9 * plan.ceilingRate())
                        - units;
        bucket.refilledAt = event.t();
        // Requests delayed while the machine was busy arrive in a burst; the allowance covers them.
        double allowance = plan.ceilingRate() * parameters.allowance() / 1e9;
        if (bucket.units < -plan.ceilingSlack() - allowance) {
            recordViolation(
                    event,
                    String.format(
                            Locale.ROOT,
                            "%s is %.1f units beyond its ceiling; the slack is %.1f",
                            event.customer(),
                            -bucket.units,
                            plan.ceilingSlack()));
        }
    }
}
