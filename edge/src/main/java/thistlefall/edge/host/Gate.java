package thistlefall.edge.host;

/** Finds out what a request asks for and who asks it, before the decision module hears of it. */
interface Gate {
    /** A request is at the head of its connection's line: takes it in, or answers it. */
    void begin(Exchange exchange);

    /** The request waits no longer. */
    void leave(Exchange exchange);

    /** Whether the request may no longer be sent, by what is known now of whoever asked. */
    boolean dead(Exchange exchange);

    /** Time has passed. */
    void beat();

    /** Ends. */
    void close();
}
