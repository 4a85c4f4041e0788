package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import thistlefall.Ports;
import thistlefall.edge.loop.NodeEventLoop;
import thistlefall.edge.settings.Defaults;
import thistlefall.memory.MemoryBudget;
import thistlefall.request.FailureCause;
import thistlefall.request.RequestTracker;

/**
 * Creates, connects, starts and stops the parts of a node: client connections, request resolver, action executor,
 * counter, server list and active requests. Confined to the node's event loop.
 */
final class NodeRuntime {
    /** The request tracker ends requests that the module has not ended by this many nanoseconds before the deadline. */
    private static final long TRACKER_MARGIN_NANOS = 12_000_000L;

    /** The part of the memory for clients that input may take while it waits for its turn. */
    private static final int WAITING_INPUT_DIVISOR = 16;

    private final NodeClock clock;
    private final NodeMetrics metrics = new NodeMetrics();
    private final EventLoopTimer timer;
    private final WaitingInput waitingInput;
    private final ActiveRequests activeRequests;
    private final RequestResolver resolver;
    private final ServerPools serverPools;
    private final ActionExecutor executor;
    private final CounterDispatcher counterDispatcher;
    private final ServerListUpdater serverListUpdater;
    private final ClientConnectionManager connectionManager;
    private final ClientRequests clientRequests;

    NodeRuntime(NodeDefinition definition, EdgeNode.Options options, NodeEventLoop nodeEventLoop, Logger log) {
        EventLoop eventLoop = nodeEventLoop.loop();
        var random = new SplittableRandom(options.seed());
        String nodeName = definition.name();
        NodeInterceptor interceptor = options.interceptor();
        clock = new NodeClock(nodeName, options.wallClock(), log);
        Ports.Settings moduleSettings = interceptor.overrideSettings(definition.moduleSettings());
        var limits = definition.limits();
        Dialect dialect = definition.dialect();
        String requestIdPrefix = nodeName + "-" + Long.toString(clock.now() / 1_000_000, 36) + "-";
        activeRequests = new ActiveRequests(
                nodeName,
                new RequestTracker(requestIdPrefix, limits.maxOpen(), TRACKER_MARGIN_NANOS, System.nanoTime()),
                longestDeadline(moduleSettings),
                metrics,
                interceptor,
                log,
                limits.logEvery());
        long maxWaitingBytes = definition.clientMemoryLimit() / WAITING_INPUT_DIVISOR;
        waitingInput = new WaitingInput(maxWaitingBytes);
        timer = new EventLoopTimer(eventLoop, this::onTick);
        serverPools = new ServerPools(
                eventLoop,
                definition.poolLimits(),
                Defaults.responseLimits(limits),
                definition.probePath(),
                dialect,
                moduleSettings.loadReportNames(),
                this::probeCompleted);
        executor = new ActionExecutor(
                nodeName,
                nodeEventLoop,
                log,
                clock,
                timer,
                metrics,
                activeRequests,
                moduleSettings,
                serverPools,
                dialect);
        connectionManager = new ClientConnectionManager(
                limits.maxConnections(), new MemoryBudget(definition.clientMemoryLimit() - maxWaitingBytes), metrics);
        clientRequests = new ClientRequests(clock, metrics, activeRequests, connectionManager::isDraining);
        serverListUpdater = new ServerListUpdater(
                definition, eventLoop, random.nextLong(), metrics, serverPools, executor::serverListChanged, log);
        resolver = createResolver(definition, moduleSettings, eventLoop, random.nextLong());
        counterDispatcher = new CounterDispatcher(
                eventLoop,
                definition.serviceFactory().counterService(eventLoop, random.nextLong()),
                metrics,
                executor::counterCallCompleted);
        activeRequests.setAttemptLog(executor.attemptLog());
        clientRequests.setCollaborators(resolver, executor);
        executor.setCollaborators(clientRequests, resolver, counterDispatcher);
        eventLoop.execute(() -> {
            executor.start(random.nextLong(), interceptor);
            serverListUpdater.start(interceptor);
        });
    }

    /** An id is remembered as long as any request may last. */
    private static long longestDeadline(Ports.Settings moduleSettings) {
        return moduleSettings.classes().stream()
                .mapToLong(Ports.RequestClass::deadline)
                .max()
                .orElse(0);
    }

    private RequestResolver createResolver(
            NodeDefinition definition, Ports.Settings moduleSettings, EventLoop eventLoop, long seed) {
        if (definition.requestParser() != null) {
            return new TrustedRequestResolver(
                    definition.requestParser(),
                    moduleSettings,
                    clientRequests,
                    executor,
                    activeRequests,
                    metrics,
                    () -> serverListUpdater.isUsable() && !connectionManager.isShuttingDown());
        }
        return new TokenRequestResolver(
                definition.bearerSettings(),
                moduleSettings,
                clientRequests,
                executor,
                listener -> new TokenAuthenticator(
                        definition.bearerSettings(),
                        eventLoop,
                        seed,
                        clock,
                        metrics,
                        activeRequests,
                        executor::log,
                        listener));
    }

    private void probeCompleted(
            String serverId, Ports.Outcome outcome, long duration, java.util.List<Double> loadReport) {
        executor.probeCompleted(serverId, outcome, duration, loadReport);
    }

    ClientRequests clientRequests() {
        return clientRequests;
    }

    ClientConnectionManager connectionManager() {
        return connectionManager;
    }

    EventLoopTimer timer() {
        return timer;
    }

    WaitingInput waitingInput() {
        return waitingInput;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    private void onTick() {
        long monotonicNow = System.nanoTime();
        clock.onTick(monotonicNow);
        resolver.onTick();
        activeRequests.expire(monotonicNow, executor::clientGone);
        connectionManager.onTick();
    }

    /** Answers all open and incomplete requests as refused or failed because the node is stopping. */
    void respondToOpenRequests() {
        activeRequests.respondToAllOpen(FailureCause.STOPPING);
        connectionManager.refuseIncompleteRequests();
    }

    /** Closes everything as a crash would, without sending any responses. */
    void kill() {
        executor.close();
        serverListUpdater.stop();
        timer.stop();
        activeRequests.discardAll();
        connectionManager.close();
        serverPools.close();
        resolver.close();
        counterDispatcher.close();
    }
}
