package thistlefall.standin.check;

import java.util.List;
import java.util.stream.Stream;
import thistlefall.standin.trace.Trace;

/** Runs the checkers of all five rules. */
public final class RuleCheckers {
    private RuleCheckers() {}

    /** Returns the result of each rule, in the order of their numbers; the events must be ordered by time. */
    public static List<RuleResult> check(List<Trace.TraceEvent> events, RuleParameters parameters) {
        return Stream.of(
                        new SingleResponseRule(parameters),
                        new AtMostOnceRule(parameters),
                        new DrainRule(parameters),
                        new ColdStartRule(parameters),
                        new CeilingRule(parameters))
                .map(rule -> rule.evaluate(events))
                .toList();
    }
}
