package thistlefall.lifecycle;

/**
 * Decides how a client connection ends: whether further requests are accepted, which response announces the close, and
 * when the output is shut. A connection is ended by shutting its output and then reading and discarding until the
 * client has closed too (RFC 9112 section 9.6). Closing it at once would reset it while received bytes are unread, and
 * the client could lose its last response.
 *
 * <p>A request is owed a response from the moment at which its first byte was read, whatever ends the connection: a
 * shutdown of the node, the idle timeout, the limit of connections, or the last request of the client. Unless a
 * response has announced the close, the connection stays open until every owed response is complete. A request that
 * lies unread in the socket is owed one too, so the socket is asked before a connection at rest ends. What is read
 * after the output was shut is never accepted; the client sends it again on a new connection. A client that ends its
 * own output counts as gone and is owed nothing.
 *
 * <p>Not thread-safe.
 */
public final class ConnectionLifecycle {
    private boolean closeRequested;
    private boolean noMoreRequests;
    private boolean closeAnnounced;
    private boolean outputShut;

    /** Returns whether a request that is read now is accepted. */
    public boolean acceptsRequests() {
        return !noMoreRequests && !outputShut;
    }

    /** Returns whether the output has been shut; all input is then discarded. */
    public boolean outputShut() {
        return outputShut;
    }

    /** Returns whether a response has announced that the connection closes after it. */
    public boolean closeAnnounced() {
        return closeAnnounced;
    }

    /**
     * Requests that the connection ends after all responses that it owes, or at once if there are none.
     */
    public void beginClose() {
        closeRequested = true;
    }

    /** Stops accepting requests, because the client has announced its last one or its input can't be parsed. */
    public void noMoreRequests() {
        noMoreRequests = true;
    }

    /**
     * Records that a response begins.
     *
     * @param mustClose whether no response can follow: the client asked for it, or its request is incomplete
     * @param laterOwedResponses responses that this connection still owes after this one
     * @return whether the response must announce that the connection closes
     */
    public boolean announcesClose(boolean mustClose, int laterOwedResponses) {
        closeAnnounced |= mustClose || closeRequested && laterOwedResponses == 0;
        return closeAnnounced;
    }

    /**
     * Returns whether the connection is about to be ended while no response announces it. Its socket must be asked
     * first whether a request lies unread in it: that request has been taken, and is owed a response.
     *
     * @param owedResponses as in {@link #shouldShutOutput}
     */
    public boolean endsAtRest(int owedResponses) {
        return closeRequested && !closeAnnounced && !outputShut && owedResponses == 0;
    }

    /**
     * Returns whether the output must be shut now; if so, it counts as shut from then on.
     *
     * @param owedResponses responses to requests of which at least one byte was read, that are not complete
     */
    public boolean shouldShutOutput(int owedResponses) {
        boolean shutNow = !outputShut && (closeAnnounced || closeRequested && owedResponses == 0);
        outputShut |= shutNow;
        return shutNow;
    }
}
