package thistlefall.cli.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the errors of one file, each with its line and path. Not thread-safe. */
public final class ValidationErrors {
    private final String file;
    private final SourceLines sourceLines;
    private final List<String> messages = new ArrayList<>();
    private final Set<String> reportedPaths = new HashSet<>();

    ValidationErrors(String file, SourceLines sourceLines) {
        this.file = file;
        this.sourceLines = sourceLines;
    }

    /** Adds an error at a path such as {@code classes[1].aim}; only the first error at a path is kept. */
    public void add(String path, String reason) {
        int line = sourceLines.lineOf(path);
        String message = file + (line > 0 ? ":" + line : "") + ": " + (path.isEmpty() ? "" : path + ": ") + reason;
        // Later errors at the same path follow from the first one and would mislead; an empty path is the whole file.
        if (reportedPaths.add(path) || path.isEmpty()) {
            messages.add(message);
        }
    }

    public boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns all error messages in the order in which they were found. */
    public List<String> messages() {
        return List.copyOf(messages);
    }
}
