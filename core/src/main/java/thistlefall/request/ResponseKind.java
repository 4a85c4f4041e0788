package thistlefall.request;

/** The kinds of final response. */
public enum ResponseKind {
    /** The response of a server is passed on. */
    SERVED,
    /** The request was not served, and a retry is harmless. */
    REFUSED,
    /** The request failed; it is unknown whether it took effect. */
    FAILED
}
