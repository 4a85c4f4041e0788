package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import thistlefall.Ports;
import thistlefall.Ports.ConnectionProof;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Reason;
import thistlefall.Ports.Request;
import thistlefall.Ports.Result;
import thistlefall.attempt.EndReason;
import thistlefall.clock.MonotonicWallClock;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.loop.NodeEventLoop;
import thistlefall.edge.upstream.ConnectionConfirmation;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.request.FailureCause;
import thistlefall.request.RequestTracker;
import thistlefall.request.ResponseKind;

/**
 * Passes events to the decision module and executes the actions that it requests: attempts, responses, probes, counter
 * calls and timers. Confined to the node's event loop. Durations and times are in nanoseconds.
 */
final class ActionExecutor implements Ports.Actions {
    private final String nodeName;
    private final NodeEventLoop nodeEventLoop;
    private final EventLoop eventLoop;
    private final Logger log;
    private final NodeClock clock;
    private final EventLoopTimer timer;
    private final NodeMetrics metrics;
    private final ActiveRequests activeRequests;
    private final Ports.Settings settings;
    private final ServerPools serverPools;
    private final ModuleHost moduleHost;
    private final Map<RequestContext, Request> requestsDeferredByStall = new HashMap<>();
    private final Dialect dialect;
    private final AttemptLog attemptLog;
    private RequestResolver resolver;
    private CounterDispatcher counter;
    private ClientRequests clientRequests;
    private boolean closed;

    ActionExecutor(
            String nodeName,
            NodeEventLoop nodeEventLoop,
            Logger log,
            NodeClock clock,
            EventLoopTimer timer,
            NodeMetrics metrics,
            ActiveRequests activeRequests,
            Ports.Settings settings,
            ServerPools serverPools,
            Dialect dialect) {
        this.nodeName = nodeName;
        this.nodeEventLoop = nodeEventLoop;
        eventLoop = nodeEventLoop.loop();
        this.log = log;
        this.clock = clock;
        this.timer = timer;
        this.metrics = metrics;
        this.activeRequests = activeRequests;
        this.settings = settings;
        this.serverPools = serverPools;
        this.dialect = dialect;
        attemptLog = new AttemptLog(nodeName, settings.classes(), log, metrics);
        moduleHost = new ModuleHost(log, this::onModuleException);
    }

    /** Sets the collaborators that are created after this object. */
    void setCollaborators(
            ClientRequests newClientRequests, RequestResolver requestResolver, CounterDispatcher counterDispatcher) {
        clientRequests = newClientRequests;
        resolver = requestResolver;
        counter = counterDispatcher;
    }

    void start(long seed, NodeInterceptor interceptor) {
        moduleHost.start(settings, seed, clock.now(), interceptor.wrapActions(this), interceptor);
    }

    void close() {
        closed = true;
    }

    String nodeName() {
        return nodeName;
    }

    /** Has something run once the sockets that were closed before are closed for the system too. */
    void runAfterNextPoll(Runnable action) {
        nodeEventLoop.runAfterNextPoll(action);
    }

    EventLoopTimer eventLoopTimer() {
        return timer;
    }

    Dialect dialect() {
        return dialect;
    }

    // ---- requests to the module -----------------------------------------------------------------------------

    /** Submits a resolved request to the decision module, which decides on it from now on. */
    void submitRequest(RequestContext requestContext, RequestDescriptor descriptor) {
        requestContext.submittedToModule = true;
        requestContext.descriptor = descriptor;
        var request = new Request(
                requestContext.trackedRequest.id(),
                descriptor.requestClass(),
                descriptor.plan(),
                descriptor.customer(),
                clientRequests.sharedDeadline(requestContext),
                descriptor.units(),
                descriptor.gatewaySetSize(),
                descriptor.firstGateway(),
                descriptor.retry());
        if (timer.isStalled()) {
            // After a stall of the event loop many requests arrive at once. Submit them in order of their deadlines.
            requestsDeferredByStall.put(requestContext, request);
            if (requestsDeferredByStall.size() == 1) {
                eventLoop.execute(this::submitDeferredRequests);
            }
            return;
        }
        moduleHost.dispatch(requestContext, events -> events.request(clock.now(), request));
    }

    private void submitDeferredRequests() {
        Map<RequestContext, Request> deferredRequests = new HashMap<>(requestsDeferredByStall);
        requestsDeferredByStall.clear();
        deferredRequests.keySet().stream()
                .filter(requestContext -> requestContext.trackedRequest.open())
                .sorted(Comparator.comparingLong(requestContext -> requestContext.trackedRequest.deadline()))
                .forEach(requestContext -> moduleHost.dispatch(
                        requestContext, events -> events.request(clock.now(), deferredRequests.get(requestContext))));
    }

    /** Tells the module that the client has disconnected or that the request was completed elsewhere. */
    void clientGone(RequestContext requestContext) {
        if (requestContext.submittedToModule) {
            moduleHost.dispatch(
                    requestContext, events -> events.clientGone(clock.now(), requestContext.trackedRequest.id()));
        }
    }

    private void onModuleException(RequestContext requestContext) {
        if (requestContext != null && requestContext.trackedRequest != null && requestContext.trackedRequest.open()) {
            activeRequests.respondWithProblem(
                    requestContext,
                    RequestTracker.permittedResponse(requestContext.trackedRequest),
                    FailureCause.CRASHED,
                    0);
        }
    }

    // ---- events for the module ------------------------------------------------------------------------------

    void serverListChanged(Ports.ListKind kind, List<Ports.Server> servers) {
        moduleHost.dispatch(null, events -> events.serverListUpdated(clock.now(), kind, servers));
    }

    void probeCompleted(String serverId, Outcome outcome, long duration, List<Double> loadReport) {
        moduleHost.dispatch(null, events -> events.probeEnded(clock.now(), serverId, outcome, duration, loadReport));
    }

    void counterCallCompleted(long counterId, Outcome outcome, double total) {
        moduleHost.dispatch(null, events -> events.counterCallEnded(clock.now(), counterId, outcome, total));
    }

    // ---- actions requested by the module --------------------------------------------------------------------

    @Override
    public void log(String message) {
        log.atInfo().addKeyValue("node", nodeName).log(message);
    }

    @Override
    public void send(String requestId, String serverId, long timeout, Ports.SendConditions conditions) {
        RequestContext requestContext = activeRequests.find(requestId);
        if (requestContext == null) {
            // The request was completed after an exception in the module. Report the attempt as not sent, so that the
            // module does not wait for the end of an attempt that never started.
            moduleHost.dispatch(
                    null,
                    events -> events.attemptEnded(
                            clock.now(), new Result(requestId, Outcome.NOT_SENT, 0, serverId, true, 0, 0, List.of())));
            return;
        }
        if (!activeRequests.tryStartAttempt(requestContext)) {
            reportNotSent(requestContext, serverId, requestContext.trackedRequest.attempts());
            return;
        }
        int attemptNumber = requestContext.trackedRequest.attempts() - 1;
        boolean tokenInactive = isTokenInactive(requestContext, attemptNumber);
        ServerConnectionPool pool = serverPools.poolFor(serverId);
        if (tokenInactive || pool == null || attemptNumber > 0 && !requestContext.body.isReplayable()) {
            activeRequests.attemptEnded(requestContext, Outcome.NOT_SENT);
            reportNotSent(requestContext, serverId, attemptNumber);
            return;
        }
        metrics.attempts++;
        requestContext.currentAttempt = new Attempt(this, requestContext, serverId, attemptNumber);
        long remainingTime =
                requestContext.trackedRequest.deadline() - ClientRequests.DEADLINE_MARGIN_NANOS - System.nanoTime();
        requestContext.currentAttempt.start(
                pool,
                timeout <= 0 ? remainingTime : Math.min(timeout, remainingTime),
                new Attempt.SendLimits(
                        durationUntil(conditions.latestSendTime()),
                        durationUntil(conditions.latestStartTime()),
                        conditions.proof()));
    }

    /** Returns how long the module's clock takes to reach a time, at the least. */
    private long durationUntil(long moduleTime) {
        return MonotonicWallClock.minimumElapsed(moduleTime - clock.now());
    }

    /** Acquires a connection for an attempt; returns the confirmation that it waits for, null if it waits for none. */
    ConnectionConfirmation acquireConnection(
            ServerConnectionPool pool, Attempt attempt, boolean headRequest, ConnectionProof proof) {
        boolean probesAllowed = settings.limits().probesAllowed();
        if (proof == ConnectionProof.NONE) {
            pool.acquire(attempt, headRequest, attempt);
            return null;
        }
        boolean usedConnectionSuffices = proof == ConnectionProof.HAS_RESPONDED || !probesAllowed;
        if (usedConnectionSuffices && pool.tryAcquireUsed(attempt, headRequest, attempt)) {
            return null;
        }
        if (probesAllowed) {
            metrics.confirmations++;
            return pool.acquireConfirmed(serverPools.probePath(), attempt, headRequest, attempt);
        }
        if (proof == ConnectionProof.HAS_RESPONDED) {
            pool.acquire(attempt, headRequest, attempt);
        } else {
            attempt.unavailable(EndReason.UNCONFIRMED);
        }
        return null;
    }

    @Override
    public void withdraw(String requestId) {
        RequestContext requestContext = activeRequests.find(requestId);
        if (requestContext != null && requestContext.currentAttempt != null) {
            requestContext.currentAttempt.withdraw();
        }
    }

    /** Whether a further attempt would outlive the client's token. */
    boolean isTokenInactive(RequestContext requestContext, int attemptNumber) {
        return attemptNumber > 0 && resolver.isTokenInactive(requestContext);
    }

    /** Counts an attempt that could not be sent by its latest time. */
    void countLateSend() {
        metrics.lateSends++;
    }

    /** Counts a request that was not sent because its client's close lay unread in the socket. */
    void countDepartureFoundAtSend() {
        metrics.departuresFoundAtSend++;
    }

    /** Counts an attempt that was taken back before it was sent. */
    void countWithdrawnSend() {
        metrics.withdrawnSends++;
    }

    AttemptLog attemptLog() {
        return attemptLog;
    }

    private void reportNotSent(RequestContext requestContext, String serverId, int attemptNumber) {
        moduleHost.dispatch(
                requestContext,
                events -> events.attemptEnded(
                        clock.now(),
                        new Result(
                                requestContext.trackedRequest.id(),
                                Outcome.NOT_SENT,
                                0,
                                serverId,
                                !requestContext.trackedRequest.open(),
                                attemptNumber,
                                0,
                                List.of())));
        activeRequests.removeIfFinished(requestContext);
    }

    @Override
    public void refuse(String requestId, long retryAfter, Reason reason) {
        RequestContext requestContext = activeRequests.find(requestId);
        if (requestContext != null) {
            activeRequests.respondWithProblem(
                    requestContext, ResponseKind.REFUSED, FailureCause.of(reason), retryAfter);
        }
    }

    @Override
    public void fail(String requestId) {
        RequestContext requestContext = activeRequests.find(requestId);
        if (requestContext != null) {
            activeRequests.respondWithProblem(requestContext, ResponseKind.FAILED, FailureCause.EFFECT, 0);
        }
    }

    @Override
    public void probe(String serverId) {
        metrics.probes++;
        serverPools.probe(serverId);
    }

    @Override
    public void addToCounter(long counterId, double amount, long lifetime) {
        counter.add(counterId, amount, lifetime);
    }

    @Override
    public void scheduleTimer(long token, long delay) {
        eventLoop.schedule(
                () -> {
                    if (!closed) {
                        moduleHost.dispatch(null, events -> events.timerExpired(clock.now(), token));
                    }
                },
                delay,
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void subscribeToServerList() {
        // Server list sources report changes without a subscription from the module.
    }

    /** Returns the time until the client's deadline in nanoseconds; negative once it has passed. */
    long remainingTime(RequestContext requestContext) {
        return requestContext.trackedRequest.deadline() - System.nanoTime();
    }

    // ---- attempts -------------------------------------------------------------------------------------------

    /** Completes a request as served when a successful response begins; returns whether it may be forwarded. */
    boolean tryCompleteAsServed(RequestContext requestContext) {
        return activeRequests.tryCompleteAsServed(requestContext);
    }

    List<Double> loadReport(HttpFields fields) {
        return dialect.parseLoadReport(fields, settings.loadReportNames());
    }

    /** Reports the end of an attempt to the module, possibly while its response is still being forwarded. */
    void attemptEnded(RequestContext requestContext, Attempt attempt, Attempt.AttemptResult attemptResult) {
        Outcome outcome = attemptResult.outcome();
        activeRequests.attemptEnded(requestContext, outcome);
        if (!outcome.provesNeverRan() && requestContext.possibleRun == null) {
            requestContext.possibleRun = attempt;
        }
        var result = new Result(
                requestContext.trackedRequest.id(),
                outcome,
                attemptResult.duration(),
                attempt.serverId(),
                !requestContext.trackedRequest.open(),
                attempt.number(),
                outcome == Outcome.OK ? attemptResult.trueUnits() : 0,
                attemptResult.loadReport());
        moduleHost.dispatch(requestContext, events -> events.attemptEnded(clock.now(), result));
        activeRequests.removeIfFinished(requestContext);
    }
}
