package thistlefall.edge.node;

import thistlefall.edge.http.MessageHead;
import thistlefall.request.RequestTracker;
import thistlefall.token.TokenKey;

/** The state of one client request, from its head to the end of its response. Confined to the node's event loop. */
final class RequestContext {
    final ClientConnection clientConnection;
    final MessageHead.RequestHead head;
    final RequestBody body;
    /** The earliest time by the monotonic clock at which its head, or its last byte if buffered, can have arrived. */
    long arrivedAt;
    /** The number of complete surplus requests that arrived directly behind it; see {@link RequestPipeline}. */
    int surplusRequestsBehind;
    /** Whether it has been passed to the request resolver. */
    boolean resolutionStarted;

    RouteTable.Route route;
    RequestDescriptor descriptor;
    /** The id that the client gave the request; null where clients give none. */
    String clientRequestId;

    /** Null until the request is accepted. */
    RequestTracker.TrackedRequest trackedRequest;
    /** Identifies the request in the token cache while its token is checked. */
    long tokenWaiterId;

    TokenKey tokenKey;
    String customerName;
    Attempt currentAttempt;
    /** Whether it has been submitted to the decision module. */
    boolean submittedToModule;
    /** Whether the head of its response has been written. */
    boolean responseStarted;

    RequestContext(
            ClientConnection clientConnection,
            MessageHead.RequestHead head,
            long arrivedAt,
            int replayLimit,
            BufferBudget bufferBudget) {
        this.clientConnection = clientConnection;
        this.head = head;
        this.arrivedAt = arrivedAt;
        body = new RequestBody(replayLimit, bufferBudget);
    }
}
