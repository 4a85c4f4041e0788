package thistlefall.edge.node;

import java.util.function.BooleanSupplier;
import thistlefall.Ports.RequestClass;
import thistlefall.clock.MonotonicWallClock;
import thistlefall.request.FailureCause;

/**
 * Takes the requests of the clients' connections: answers those that need no server, refuses those that can't be taken,
 * passes the others on to the resolver with their deadlines, and ends those whose clients leave. Confined to the node's
 * event loop; durations are in nanoseconds.
 */
final class ClientRequests {
    /**
     * The decision module and the token cache get a deadline this many nanoseconds before the client's, so that the
     * response is written in time.
     */
    static final long DEADLINE_MARGIN_NANOS = 30_000_000L;

    private final NodeClock clock;
    private final NodeMetrics metrics;
    private final ActiveRequests activeRequests;
    private final BooleanSupplier draining;
    private RequestResolver resolver;
    private ActionExecutor executor;

    /** Creates the intake of a node; {@code draining} says whether new requests are refused because the node stops. */
    ClientRequests(NodeClock clock, NodeMetrics metrics, ActiveRequests activeRequests, BooleanSupplier draining) {
        this.clock = clock;
        this.metrics = metrics;
        this.activeRequests = activeRequests;
        this.draining = draining;
    }

    /** Sets the collaborators that are created after this object. */
    void setCollaborators(RequestResolver requestResolver, ActionExecutor actionExecutor) {
        resolver = requestResolver;
        executor = actionExecutor;
    }

    /**
     * Returns the response to a request that needs no server, see {@link RequestResolver#immediateResponse}, or null.
     */
    ProblemDetails immediateResponse(RequestContext requestContext) {
        ProblemDetails response = resolver.immediateResponse(requestContext);
        if (response != null) {
            metrics.requests++;
        }
        return response;
    }

    /** Starts resolving the request that is first on its connection. */
    void resolveRequest(RequestContext requestContext) {
        metrics.requests++;
        requestContext.resolutionStarted = true;
        resolver.resolve(requestContext);
    }

    /** Refuses the request of a connection beyond the limit; the connection closes after it. */
    void refuseBeyondLimit(RequestContext requestContext) {
        metrics.requests++;
        refuse(requestContext);
    }

    private void refuse(RequestContext requestContext) {
        FailureCause cause = draining.getAsBoolean() ? FailureCause.STOPPING : FailureCause.FULL;
        metrics.countRefused(cause);
        requestContext.clientConnection.sendProblem(requestContext, ProblemDetails.refused(cause, 0));
    }

    /** Counts a request that is refused without being resolved. */
    void countSurplusRequest(FailureCause cause) {
        metrics.requests++;
        metrics.countRefused(cause);
    }

    /** Accepts a request, or refuses it and returns false if the node is draining or at its limit of open requests. */
    boolean accept(RequestContext requestContext, RequestClass requestClass, long clientTimeout) {
        if (draining.getAsBoolean() || !activeRequests.hasCapacity(requestClass)) {
            refuse(requestContext);
            return false;
        }
        activeRequests.accept(requestContext, requestClass, requestContext.arrivedAt + clientTimeout);
        return true;
    }

    /** Returns the deadline in shared time for the module and the token cache, never later than the client's. */
    long sharedDeadline(RequestContext requestContext) {
        long remainingTime = requestContext.trackedRequest.deadline() - System.nanoTime() - DEADLINE_MARGIN_NANOS;
        return clock.now() + MonotonicWallClock.minimumElapsed(remainingTime);
    }

    /** Ends a request whose body is malformed or incomplete; the client gets the given problem document. */
    void requestBodyFailed(RequestContext requestContext, ProblemDetails problem) {
        if (requestContext.trackedRequest == null) {
            requestContext.clientConnection.sendProblem(requestContext, problem);
            return;
        }
        Attempt currentAttempt = requestContext.currentAttempt;
        activeRequests.clientGone(requestContext);
        cancelProcessing(requestContext);
        requestContext.clientConnection.sendProblem(requestContext, problem);
        if (currentAttempt != null) {
            currentAttempt.clientGone();
        }
        activeRequests.removeIfFinished(requestContext);
    }

    /** Handles the disconnect of a request's client. */
    void clientGone(RequestContext requestContext) {
        requestContext.body.detach();
        if (requestContext.trackedRequest == null) {
            metrics.requestsNeverBegun += requestContext.body.isComplete() ? 1 : 0;
            requestContext.body.release();
            return;
        }
        if (requestContext.trackedRequest.open()) {
            metrics.clientsGone++;
            activeRequests.clientGone(requestContext);
            cancelProcessing(requestContext);
        }
        if (requestContext.currentAttempt != null) {
            requestContext.currentAttempt.clientGone();
        }
        requestContext.body.release();
        activeRequests.removeIfFinished(requestContext);
    }

    private void cancelProcessing(RequestContext requestContext) {
        resolver.cancel(requestContext);
        executor.clientGone(requestContext);
    }
}
