package thistlefall.cli.fault;

/** A request of a client of the soak, as its client saw it. Times are monotonic nanoseconds. */
final class SoakRequest {
    /** How a request ended for its client. */
    enum End {
        /** A response came, whatever its status. */
        ANSWERED,
        /** The client closed its connection before a response. */
        LEFT,
        /** The node ended a connection that had carried a request before, so the client may send it once more. */
        CROSSED,
        /** The node ended a new connection without a response. */
        DROPPED,
        /** Nothing came in time. */
        NO_ANSWER
    }

    /** What may be done with a request. */
    enum Kind {
        LOOKUP,
        BOOKING,
        PAYMENT
    }

    final Kind kind;
    final String id;
    /** The number of the node's process that it was sent to. */
    final int process;

    final long sentAt = System.nanoTime();
    /** When its client closed; 0 if it did not. */
    volatile long closedAt;

    volatile End end;
    volatile int status;

    SoakRequest(Kind kind, String id, int process) {
        this.kind = kind;
        this.id = id;
        this.process = process;
    }

    String text(double seconds) {
        return switch (kind) {
            case LOOKUP -> FaultClient.lookup(id, seconds);
            case BOOKING -> FaultClient.booking(id, seconds);
            case PAYMENT -> FaultClient.payment(id, seconds);
        };
    }

    /** Returns what identifies its effect at the servers. */
    String key() {
        return kind == Kind.BOOKING ? "key-" + id : id;
    }
}
