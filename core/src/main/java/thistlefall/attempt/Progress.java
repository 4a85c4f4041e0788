package thistlefall.attempt;

/** How far an attempt got; it only ever moves forward. */
public enum Progress {
    /** Waits for a connection; nothing was handed to any socket. */
    WAITING,
    /** Has a connection that was seen open; nothing was handed to it. */
    CONNECTED,
    /** At least one byte was handed to the socket: from here on it may have run. */
    WRITTEN,
    /** The head of an answer is in. */
    ANSWERED,
    /** The whole answer is in. */
    COMPLETE
}
