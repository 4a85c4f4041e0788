package thistlefall.edge.node;

/** What ended a client's connection; the first cause counts. */
enum ConnectionEnd {
    /** The client closed it, or it broke. */
    CLIENT_CLOSED,
    /** A response announced the end. */
    ANNOUNCED,
    /** It was at rest: idle for too long, one too many, or the node drained. */
    AT_REST,
    /** Its client took no bytes for too long. */
    WRITE_STALLED,
    /** It held too much while memory was short. */
    GAVE_WAY,
    /** A response broke off after a part of it had been passed on. */
    RESPONSE_BROKEN,
    /** A defect. */
    ERROR,
    /** The node ended. */
    NODE_ENDED
}
