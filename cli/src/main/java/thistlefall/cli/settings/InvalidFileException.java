package thistlefall.cli.settings;

import java.util.List;

/** Thrown for a settings or day file that cannot be read or is invalid; carries all errors. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    /** Creates the exception; its message has one error per line. */
    public InvalidFileException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = errors;
    }

    /** All errors, one string each: file, line, path, reason. */
    public List<String> errors() {
        return errors;
    }
}
