package thistlefall.cli.settings;

import java.util.List;

/** A file that can't be taken, with every fault. */
public final class BadFile extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    /** With its faults, one a line. */
    public BadFile(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = faults;
    }

    /** One text a fault: file, line, path, reason. */
    public List<String> faults() {
        return faults;
    }
}
