package thistlefall.standin.check;

import java.util.List;
import java.util.Locale;
import thistlefall.standin.trace.Trace;

/** Checks one rule on a trace, and on nothing else. Not reusable and not thread-safe. */
abstract class RuleChecker {
    private final int rule;
    final RuleParameters parameters;
    private long checked;
    private long violations;
    private String firstViolation;

    RuleChecker(int rule, RuleParameters parameters) {
        this.rule = rule;
        this.parameters = parameters;
    }

    /** Counts one case to which the rule applied. */
    final void countCheckedCase() {
        checked++;
    }

    /** Counts a violation and keeps the description of the first one. */
    final void recordViolation(Trace.TraceEvent event, String description) {
        violations++;
        if (firstViolation == null) {
            firstViolation = String.format(Locale.ROOT, "at %.3f s: %s", event.t() / 1e9, description);
        }
    }

    /** Checks all events, which are ordered by time. */
    abstract void checkEvents(List<Trace.TraceEvent> events);

    /** Checks a whole trace and returns the result. */
    final RuleResult evaluate(List<Trace.TraceEvent> events) {
        checkEvents(events);
        return new RuleResult(rule, checked, violations, firstViolation);
    }
}
