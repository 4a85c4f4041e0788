package thistlefall.drill;

/** Thrown for malformed input; the message has the line number, the reason and up to 200 characters of the line. */
final class WireFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    WireFormatException(long lineNumber, String line, String reason) {
        super("line " + lineNumber + ": " + reason + ": " + (line.length() > 200 ? line.substring(0, 200) : line));
    }
}
