package thistlefall.standin.fault;

import java.util.Locale;

/** Faults that can be injected at the interfaces of a node, to show that the rule checkers detect them. */
public enum InjectedFault {
    /** Rule 1: one response in fifty is dropped. */
    LOSE_ANSWERS(1),
    /** Rule 2: a failed attempt is reported to the decision module as one that never ran. */
    FALSE_PROOF(2),
    /** Rule 3: the node is not notified that a server drains or is gone. */
    DEAF_TO_DRAINS(3),
    /** Rule 4: requests go to the most recently started server while it is cold, whichever server was chosen. */
    COLD_FIRST(4),
    /** Rule 5: the decision module gets plans without quota and ceiling. */
    NO_CEILING(5);

    private final int rule;

    InjectedFault(int rule) {
        this.rule = rule;
    }

    /** Number of the rule that the fault breaks. */
    public int rule() {
        return rule;
    }

    /** The name of the fault on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
