package thistlefall.standin.check;

/**
 * Result of one rule on a trace.
 *
 * @param rule number of the rule
 * @param checked number of cases checked
 * @param violations number of cases that broke the rule
 * @param firstViolation description of the first violation; null if there is none
 */
public record RuleResult(int rule, long checked, long violations, String firstViolation) {}
