package thistlefall.cli.settings;

import java.util.ArrayList;
import java.util.List;

/** The faults of a file, each with its place. */
public final class Faults {
    private final String file;
    private final Places places;
    private final List<String> found = new ArrayList<>();

    Faults(String file, Places places) {
        this.file = file;
        this.places = places;
    }

    /** Notes a fault at a path such as {@code classes[1].aim}. */
    public void add(String path, String reason) {
        int line = places.line(path);
        String text = file + (line > 0 ? ":" + line : "") + ": " + (path.isEmpty() ? "" : path + ": ") + reason;
        if (!found.contains(text)) {
            found.add(text);
        }
    }

    /** Whether there is none. */
    public boolean none() {
        return found.isEmpty();
    }

    /** All of them, in the order in which they were found. */
    public List<String> all() {
        return List.copyOf(found);
    }
}
