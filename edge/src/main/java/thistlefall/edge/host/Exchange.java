package thistlefall.edge.host;

import thistlefall.edge.http.Head;
import thistlefall.ledger.Ledger;
import thistlefall.token.TokenKey;

/** One request of a client, from its head to the end of its answer. */
final class Exchange {
    final ClientConnection client;
    final Head.Request head;
    final RequestBody body;
    /** Reading of the monotonic clock at which the head may have come at the earliest. */
    final long arrived;
    Routes.Route route;
    Ledger.Entry entry;
    long waiter;
    TokenKey key;
    String customer;
    Attempt attempt;
    /** Whether the module knows it. */
    boolean handedOver;
    /** Whether the head of its answer has been written. */
    boolean answered;

    Exchange(ClientConnection client, Head.Request head, long arrived, int replayLimit) {
        this.client = client;
        this.head = head;
        this.arrived = arrived;
        body = new RequestBody(replayLimit);
    }
}
