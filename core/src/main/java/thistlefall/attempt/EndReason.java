package thistlefall.attempt;

/** What ended an attempt, as seen at the socket. */
public enum EndReason {
    /** The whole response was received. */
    ANSWER,
    /** The connection was refused or the server is unreachable. */
    REFUSED,
    /** The connect timeout passed. */
    CONNECT_OVERDUE,
    /**
     * No connection is free and none may be opened: the limit of this server or of all servers is reached, or the
     * server drains.
     */
    NO_PLACE,
    /** The server has not shown that it reads from a connection, which this attempt needs before its first byte. */
    UNCONFIRMED,
    /** The peer closed or reset the connection. */
    CLOSED,
    /** The received bytes are not a valid response of the protocol. */
    GARBLED,
    /** The timeout of the attempt, the latest time for sending it or the deadline of the request passed. */
    OVERDUE,
    /** The attempt was cancelled: the client left or sent a broken body, or the server drains, is gone or replaced. */
    WITHDRAWN,
    /**
     * The host did not send the attempt: it may not be sent any more, its client did not stop sending, the token
     * expired, the body cannot be sent again, or the node stops.
     */
    NOT_STARTED
}
