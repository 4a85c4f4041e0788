package thistlefall.edge.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.RequestClass;
import thistlefall.request.FailureCause;
import thistlefall.request.PossiblyRunRequestIds;
import thistlefall.request.RequestTracker;
import thistlefall.request.ResponseKind;

/**
 * The accepted requests that have not finished. Makes sure that each gets exactly one final response, counts and logs
 * that response, and sends those that the node generates itself. Confined to the node's event loop.
 */
final class ActiveRequests {
    private static final int MAX_POSSIBLY_RUN_IDS = 8_192;

    private final String nodeName;
    private final RequestTracker requestTracker;
    private final NodeMetrics metrics;
    private final NodeInterceptor interceptor;
    private final Logger log;
    private final int logEvery;
    private final Map<String, RequestContext> contextsById = new HashMap<>();
    /** The ids that clients gave to these requests; requests without such an id are not included. */
    private final Set<String> clientRequestIds = new HashSet<>();

    private final PossiblyRunRequestIds possiblyRunIds = new PossiblyRunRequestIds(MAX_POSSIBLY_RUN_IDS);
    /** How long an id is remembered after the time of its request, nanoseconds. */
    private final long idRetention;

    private AttemptLog attemptLog;
    private long completedCount;

    ActiveRequests(
            String nodeName,
            RequestTracker requestTracker,
            long idRetention,
            NodeMetrics metrics,
            NodeInterceptor interceptor,
            Logger log,
            int logEvery) {
        this.nodeName = nodeName;
        this.requestTracker = requestTracker;
        this.idRetention = idRetention;
        this.metrics = metrics;
        this.interceptor = interceptor;
        this.log = log;
        this.logEvery = logEvery;
    }

    /** Sets the log of attempts, which is created after this object. */
    void setAttemptLog(AttemptLog newAttemptLog) {
        attemptLog = newAttemptLog;
    }

    /** Returns the unfinished request with this id, or null. */
    RequestContext find(String requestId) {
        return contextsById.get(requestId);
    }

    /**
     * Whether a request has this id, as given by its client, and is unfinished, or may have run and must not run twice.
     * Only with a new id may it be sent again.
     */
    boolean isClientRequestIdTaken(String clientRequestId) {
        return clientRequestIds.contains(clientRequestId)
                || possiblyRunIds.contains(clientRequestId, System.nanoTime());
    }

    /**
     * Whether a request of this class can be accepted: one that must not run twice only if its id could be remembered.
     */
    boolean hasCapacity(RequestClass requestClass) {
        boolean idCanBeRemembered = requestClass.repeat() == Repeat.SAFE || !possiblyRunIds.isFull();
        return requestTracker.hasCapacity() && idCanBeRemembered;
    }

    /** Returns the number of requests that still await their final response. */
    int openCount() {
        return requestTracker.open();
    }

    /** Registers a request, which from now on must get a final response. */
    void accept(RequestContext requestContext, RequestClass requestClass, long deadline) {
        requestContext.trackedRequest = requestTracker.accept(requestClass, deadline);
        contextsById.put(requestContext.trackedRequest.id(), requestContext);
        if (requestContext.clientRequestId != null) {
            clientRequestIds.add(requestContext.clientRequestId);
        }
    }

    /** Starts an attempt unless the request's state forbids it; returns whether it was started. */
    boolean tryStartAttempt(RequestContext requestContext) {
        return requestTracker.tryStartAttempt(requestContext.trackedRequest);
    }

    /** Records the end of the outstanding attempt. */
    void attemptEnded(RequestContext requestContext, Outcome outcome) {
        requestTracker.attemptEnded(requestContext.trackedRequest, outcome);
    }

    /** Completes a request as served when a successful response begins; returns whether it may be forwarded. */
    boolean tryCompleteAsServed(RequestContext requestContext) {
        if (requestTracker.complete(requestContext.trackedRequest, ResponseKind.SERVED, null) == null) {
            return false;
        }
        metrics.served++;
        logCompletion(requestContext, ResponseKind.SERVED);
        return interceptor.deliversResponse(ResponseKind.SERVED);
    }

    /**
     * Completes a request as refused or failed, unless it already has its final response. A request whose attempts may
     * have taken effect is failed even if a refusal was requested.
     */
    void respondWithProblem(
            RequestContext requestContext, ResponseKind requestedKind, FailureCause cause, long retryAfter) {
        respondWithProblem(
                requestContext,
                requestedKind,
                cause,
                requestedKind == ResponseKind.REFUSED
                        ? ProblemDetails.refused(cause, retryAfter)
                        : ProblemDetails.failed(cause));
    }

    /** As above, with the given problem document as the response. */
    void respondWithProblem(
            RequestContext requestContext, ResponseKind requestedKind, FailureCause cause, ProblemDetails problem) {
        ResponseKind completedKind = requestTracker.complete(requestContext.trackedRequest, requestedKind, cause);
        if (completedKind == null) {
            return;
        }
        if (completedKind == ResponseKind.REFUSED) {
            metrics.countRefused(requestContext.trackedRequest.cause());
        } else {
            metrics.failed++;
        }
        logCompletion(requestContext, completedKind);
        attemptLog.answered(requestContext, completedKind);
        if (interceptor.deliversResponse(completedKind)) {
            requestContext.clientConnection.sendProblem(
                    requestContext,
                    completedKind == requestedKind
                            ? problem
                            : ProblemDetails.failed(requestContext.trackedRequest.cause()));
        }
        removeIfFinished(requestContext);
    }

    /** Records that the client disconnected, so that no response is needed any more. */
    void clientGone(RequestContext requestContext) {
        attemptLog.clientLeft(requestContext);
        requestTracker.clientGone(requestContext.trackedRequest);
    }

    /** Completes the requests whose time is up; {@code onExpired} is called for each of them afterwards. */
    void expire(long monotonicNow, Consumer<RequestContext> onExpired) {
        possiblyRunIds.expire(monotonicNow);
        requestTracker.expire(monotonicNow, (trackedRequest, kind) -> {
            RequestContext requestContext = contextsById.get(trackedRequest.id());
            metrics.expiredByTracker++;
            if (requestContext != null) {
                respondWithProblem(requestContext, kind, FailureCause.OVERDUE, 0);
                onExpired.accept(requestContext);
            }
        });
    }

    /** Completes all open requests as refused or failed, according to what is known of their attempts. */
    void respondToAllOpen(FailureCause cause) {
        for (RequestTracker.TrackedRequest trackedRequest : requestTracker.openRequests()) {
            respondWithProblem(
                    contextsById.get(trackedRequest.id()), RequestTracker.permittedResponse(trackedRequest), cause, 0);
        }
    }

    /** Discards all open requests without a response, as a crash would. */
    void discardAll() {
        requestTracker.openRequests().forEach(requestTracker::clientGone);
    }

    /** Removes a request that has its final response and no outstanding attempt. */
    void removeIfFinished(RequestContext requestContext) {
        if (!requestContext.trackedRequest.open() && !requestContext.trackedRequest.attemptOutstanding()) {
            contextsById.remove(requestContext.trackedRequest.id());
            clientRequestIds.remove(requestContext.clientRequestId);
            if (requestContext.clientRequestId != null && requestContext.trackedRequest.mustNotRunAgain()) {
                rememberId(requestContext);
            }
        }
    }

    private void rememberId(RequestContext requestContext) {
        long until = requestContext.trackedRequest.deadline() + idRetention;
        if (requestContext.trackedRequest.cause() == null) {
            possiblyRunIds.addServed(requestContext.clientRequestId, until);
        } else {
            possiblyRunIds.addUnserved(requestContext.clientRequestId, until);
        }
    }

    /** Logs one of every {@code logEvery} requests; the logging framework's own thread does the writing. */
    private void logCompletion(RequestContext requestContext, ResponseKind kind) {
        if (logEvery <= 0 || ++completedCount % logEvery != 0) {
            return;
        }
        FailureCause cause = requestContext.trackedRequest.cause();
        log.atInfo()
                .addKeyValue("node", nodeName)
                .addKeyValue("request", requestContext.trackedRequest.id())
                .addKeyValue("class", requestContext.descriptor == null ? "" : requestContext.descriptor.className())
                .addKeyValue("customer", requestContext.customerName)
                .addKeyValue("token", String.valueOf(requestContext.tokenKey))
                .addKeyValue("attempts", requestContext.trackedRequest.attempts())
                .addKeyValue("ms", (System.nanoTime() - requestContext.arrivedAt) / 1_000_000)
                .addKeyValue("outcome", kind.name().toLowerCase(Locale.ROOT))
                .addKeyValue("reason", cause == null ? "" : cause.code())
                .log("request");
    }
}
