package thistlefall.attempt;

/** What a server's response says about the request, by the rules of the server's protocol. */
public enum ResponseClassification {
    /** There is no response. */
    NOTHING,
    /** The response is passed on to the client. */
    SERVED,
    /** The request failed and may have run. */
    ERROR,
    /** The server states, in the form agreed with its operator, that it has not looked at the request. */
    UNSEEN;

    /**
     * Classifies an HTTP response of servers that mark requests they have not looked at.
     *
     * @param marked whether the response carries that mark; ignored with a status below 400, which contradicts it
     */
    public static ResponseClassification ofStatus(int status, boolean marked) {
        if (marked && status >= 400) {
            return UNSEEN;
        }
        return status >= 500 ? ERROR : SERVED;
    }
}
