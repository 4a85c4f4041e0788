package thistlefall.standin.check;

import java.util.List;
import java.util.Locale;
import thistlefall.standin.trace.Trace;

/** A checker of one rule; reads the trace only. Not reusable. */
abstract class Rule {
    private final int number;
    final Facts facts;
    private long checked;
    private long broken;
    private String first;

    Rule(int number, Facts facts) {
        this.number = number;
        this.facts = facts;
    }

    final void check() {
        checked++;
    }

    final void broken(Trace.Line at, String what) {
        broken++;
        if (first == null) {
            first = String.format(Locale.ROOT, "at %.3f s: %s", at.t() / 1e9, what);
        }
    }

    /** Reads all lines, which come by time. */
    abstract void read(List<Trace.Line> lines);

    final Verdict verdict(List<Trace.Line> lines) {
        read(lines);
        return new Verdict(number, checked, broken, first);
    }
}
