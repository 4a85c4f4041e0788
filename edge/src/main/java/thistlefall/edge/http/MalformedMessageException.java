package thistlefall.edge.http;

/** Thrown for a message that violates the grammar, a limit or the framing rules. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * An exception without a stack trace.
     *
     * @param status the status of the response with which a server rejects the message
     * @param reason what is wrong with the message
     */
    public MalformedMessageException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status of the response that a server sends. */
    public int status() {
        return status;
    }
}
