package thistlefall.edge.node;

import thistlefall.attempt.ClientInputWait;
import thistlefall.edge.http.MessageHead;
import thistlefall.memory.MemoryBudget;
import thistlefall.request.RequestTracker;
import thistlefall.token.TokenKey;

/** The state of one client request, from its head to the end of its response. Confined to the node's event loop. */
final class RequestContext {
    /** What the objects of a request take on the heap beside its head and its body. */
    private static final long HEAP_OVERHEAD_BYTES = 512;

    final ClientConnection clientConnection;
    final MessageHead.RequestHead head;
    final RequestBody body;
    /** The earliest time by the monotonic clock at which its head, or its last byte if buffered, can have arrived. */
    long arrivedAt;
    /** The number of complete surplus requests that arrived directly behind it; see {@link RequestPipeline}. */
    int surplusRequestsBehind;
    /** What the pipeline has counted of the memory and of the body of this request; see {@link RequestPipeline}. */
    long countedHeldBytes;

    long countedBufferedBytes;
    /** Whether it has been passed to the request resolver. */
    boolean resolutionStarted;

    /** What the request says of itself; null before it is parsed and where requests do not. */
    TrustedRequestResolver.ParsedRequest parsedRequest;

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
    /** How long its attempts have waited for the input of its client. */
    final ClientInputWait inputWait = new ClientInputWait();

    Attempt currentAttempt;
    /** The first attempt that may have run; null if there is none. */
    Attempt possibleRun;
    /** Whether it has been submitted to the decision module. */
    boolean submittedToModule;
    /** Whether the head of its response has been written. */
    boolean responseStarted;

    RequestContext(
            ClientConnection clientConnection,
            MessageHead.RequestHead head,
            long arrivedAt,
            int replayLimit,
            MemoryBudget.Account memory) {
        this.clientConnection = clientConnection;
        this.head = head;
        this.arrivedAt = arrivedAt;
        body = new RequestBody(head.framing(), replayLimit, memory);
    }

    /** Returns the memory that a request takes without its body, in bytes. */
    static long heldBytesWithoutBody(MessageHead.RequestHead head) {
        return HEAP_OVERHEAD_BYTES + head.fields().heldBytes();
    }

    /** Returns the memory that the request and its current attempt take, in bytes. */
    long heldBytes() {
        long attemptBytes = currentAttempt == null ? 0 : currentAttempt.heldBytes();
        return heldBytesWithoutBody(head) + body.heldBytes() + attemptBytes;
    }
}
