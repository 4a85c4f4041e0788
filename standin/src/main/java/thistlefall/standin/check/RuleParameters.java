package thistlefall.standin.check;

import java.util.Map;
import thistlefall.Ports.Plan;
import thistlefall.Ports.RequestClass;

/**
 * Parameters of the rules, which the checkers need besides the trace.
 *
 * @param classes request classes by name
 * @param plans plans by name
 * @param drainGrace rule 3's grace period, nanoseconds
 * @param allowance tolerance for delays of the machine itself, nanoseconds
 * @param coldSpan how long a server counts as cold, nanoseconds
 * @param fallMultiple rule 4's multiple of a server's capacity
 * @param fallSpan rule 4's window, nanoseconds
 */
public record RuleParameters(
        Map<String, RequestClass> classes,
        Map<String, Plan> plans,
        long drainGrace,
        long allowance,
        long coldSpan,
        double fallMultiple,
        long fallSpan) {}
