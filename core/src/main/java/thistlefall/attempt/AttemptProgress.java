package thistlefall.attempt;

/** How far an attempt got. Progress only moves forward. */
public enum AttemptProgress {
    /** The attempt waits for a connection; no byte was handed to a socket. */
    WAITING,
    /** The attempt has a connection that was seen open; no byte was handed to it. */
    CONNECTED,
    /**
     * From here on the request may have run: its first byte was handed to the socket or, where servers start a request
     * only once it is complete, its last byte was.
     */
    WRITTEN,
    /** The head of the response has been received. */
    ANSWERED,
    /** The whole response has been received. */
    COMPLETE
}
