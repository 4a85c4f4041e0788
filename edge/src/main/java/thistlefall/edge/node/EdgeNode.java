package thistlefall.edge.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalServerChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thistlefall.edge.http.RequestDecoder;
import thistlefall.edge.loop.NodeEventLoop;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.upstream.NodeAllocator;
import thistlefall.edge.upstream.Transports;
import thistlefall.lifecycle.GracefulShutdown;
import thistlefall.memory.MemoryBudget;

/**
 * An edge node: accepts client connections, checks tokens, has the decision module decide on requests and forwards them
 * to app servers. Several nodes may run in one process; they share nothing but the logging. All methods may be called
 * from any thread except the node's own event loop.
 */
public final class EdgeNode implements AutoCloseable {
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(5);
    private static final long PHASE_CHECK_INTERVAL_MS = 5;
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    /** Connections accepted at once: fewer than the node can end in one pass if their clients leave at once. */
    private static final int MAX_ACCEPTS_AT_ONCE = 4;
    /** What is read from one client at once. So much of each may wait for its turn, within the memory for clients. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    /**
     * Options that are not part of an operator's settings.
     *
     * @param seed the seed of the node's random numbers
     * @param wallClock the wall clock
     * @param interceptor observes or changes what passes between the node's parts; {@link NodeInterceptor#NONE} in
     *     production
     */
    public record Options(long seed, WallClock wallClock, NodeInterceptor interceptor) {
        /** Returns the options for production: a random seed, the system's clock and no interceptor. */
        public static Options standard() {
            return new Options(ThreadLocalRandom.current().nextLong(), WallClock.SYSTEM, NodeInterceptor.NONE);
        }
    }

    private final NodeEventLoop nodeEventLoop;
    private final EventLoop eventLoop;
    private final NodeRuntime runtime;
    private final ConnectionAcceptor acceptor;
    private final Channel serverChannel;
    private final Duration lingerTimeout;
    private volatile boolean stopped;

    private EdgeNode(NodeDefinition definition, Options options) throws IOException {
        Logger log = LoggerFactory.getLogger("thistlefall.node");
        nodeEventLoop = new NodeEventLoop(definition.name(), Transports.ioHandlerFactory(definition.listen()), log);
        eventLoop = nodeEventLoop.loop();
        lingerTimeout = definition.limits().linger();
        try {
            runtime = eventLoop
                    .submit(() -> createRuntime(definition, options, log))
                    .syncUninterruptibly()
                    .getNow();
            acceptor = new ConnectionAcceptor(log, runtime.metrics(), runtime.connectionManager());
            serverChannel = bind(definition);
        } catch (RuntimeException e) {
            nodeEventLoop.shutdown(100);
            throw e;
        }
        log.atInfo()
                .addKeyValue("node", definition.name())
                .addKeyValue("address", serverChannel.localAddress().toString())
                .log("listening");
    }

    private NodeRuntime createRuntime(NodeDefinition definition, Options options, Logger log) {
        var createdRuntime = new NodeRuntime(definition, options, nodeEventLoop, log);
        nodeEventLoop.setPassWork(createdRuntime.waitingInput());
        return createdRuntime;
    }

    private Channel bind(NodeDefinition definition) throws IOException {
        var limits = definition.limits();
        Logger log = LoggerFactory.getLogger("thistlefall.node");
        var bootstrap = new ServerBootstrap()
                .group(nodeEventLoop.group())
                .handler(acceptor)
                .childOption(ChannelOption.ALLOCATOR, NodeAllocator.INSTANCE)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 * 1024, 64 * 1024))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        var decoder = new RequestDecoder(Defaults.requestLimits(limits));
                        var connection = new ClientConnection(
                                runtime.connectionManager(),
                                runtime.clientRequests(),
                                runtime.waitingInput(),
                                runtime.metrics(),
                                log::info,
                                runtime.timer(),
                                limits,
                                definition.dialect(),
                                decoder);
                        channel.pipeline().addLast(connection.input(), decoder, connection);
                        runtime.connectionManager().register(connection);
                    }
                });
        if (definition.listen() instanceof InetSocketAddress) {
            bootstrap
                    .channelFactory(() -> new ClientSocketChannel.Listener(runtime.connectionManager()::acceptCapacity))
                    .option(ChannelOption.SO_BACKLOG, 1024)
                    .option(
                            ChannelOption.RCVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_AT_ONCE))
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalServerChannel.class);
        }
        var bindFuture = bootstrap.bind(definition.listen()).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            nodeEventLoop.shutdown(100);
            throw new IOException(
                    "can't listen at " + Transports.hostHeader(definition.listen()) + ": "
                            + bindFuture.cause().getMessage(),
                    bindFuture.cause());
        }
        return bindFuture.channel();
    }

    /**
     * Starts a node, which is listening when this method returns.
     *
     * @throws IOException if the node cannot listen on its address
     */
    public static EdgeNode start(NodeSettings settings) throws IOException {
        return start(settings, Options.standard());
    }

    /** Starts a node with the given options. */
    public static EdgeNode start(NodeSettings settings, Options options) throws IOException {
        return start(StandaloneNodeDefinition.of(settings), options);
    }

    /** Starts a node from a definition that a platform adapter has assembled. */
    public static EdgeNode start(NodeDefinition definition, Options options) throws IOException {
        return new EdgeNode(definition, options);
    }

    /** Returns the address that the node listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Returns the node's counts since its start and its present use of memory in bytes, by name. */
    public Map<String, Long> metrics() {
        Map<String, Long> metrics = runtime.metrics().asMap();
        MemoryBudget clientMemory = runtime.connectionManager().clientMemory();
        metrics.put("client_memory", clientMemory.held());
        metrics.put("client_memory_peak", clientMemory.peak());
        metrics.put("client_memory_limit", clientMemory.limit());
        metrics.put("waiting_input", runtime.waitingInput().heldBytes());
        metrics.put("direct_memory", DirectMemory.allocated());
        nodeEventLoop.usage().addTo(metrics);
        return metrics;
    }

    /**
     * Has a listener called, by any thread, if the node's event loop ends although the node was not stopped. Such a
     * node serves nobody any more, and its process should end, so that it is started again.
     */
    public void onUnexpectedEnd(Runnable listener) {
        eventLoop.terminationFuture().addListener(end -> {
            if (!stopped) {
                LoggerFactory.getLogger("thistlefall.node").error("the event loop has ended unexpectedly");
                listener.run();
            }
        });
    }

    /**
     * Stops the node: accepts nothing new, waits up to the given duration for pending responses, then answers the
     * remaining requests as refused or failed, whichever is true of each, and closes.
     */
    public void stop(Duration drainTimeout) {
        stop(new GracefulShutdown.ShutdownTimeouts(0, 0, 0, drainTimeout.toNanos(), lingerTimeout.toNanos()));
    }

    /** Stops the node in the phases of {@link GracefulShutdown}. */
    public synchronized void stop(GracefulShutdown.ShutdownTimeouts timeouts) {
        if (stopped || eventLoop.isShuttingDown()) {
            return;
        }
        stopped = true;
        var finished = new CompletableFuture<Void>();
        eventLoop.execute(() -> {
            runtime.connectionManager().announceShutdown();
            advanceShutdown(
                    new GracefulShutdown(timeouts, System.nanoTime()), GracefulShutdown.Phase.ACCEPTING, finished);
        });
        try {
            finished.get(timeouts.total() + 2_000_000_000L, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            LoggerFactory.getLogger("thistlefall.node").warn("stopped before the shutdown was complete", e);
        }
        nodeEventLoop.shutdown(1_000).awaitUninterruptibly(2_000);
    }

    /** Advances the shutdown, runs the first step of a new phase and schedules the next check. */
    private void advanceShutdown(
            GracefulShutdown shutdown, GracefulShutdown.Phase previousPhase, CompletableFuture<Void> finished) {
        ClientConnectionManager connectionManager = runtime.connectionManager();
        GracefulShutdown.Phase phase = shutdown.advance(
                System.nanoTime(),
                connectionManager.lastOpenedAt(),
                connectionManager.busyConnections() + (acceptor.isListening() ? 1 : 0),
                connectionManager.connections());
        try {
            if (phase != previousPhase) {
                enterPhase(phase);
            }
        } catch (RuntimeException e) {
            finished.completeExceptionally(e);
            throw e;
        }
        if (phase == GracefulShutdown.Phase.TERMINATED) {
            finished.complete(null);
        } else {
            eventLoop.schedule(
                    () -> advanceShutdown(shutdown, phase, finished), PHASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void enterPhase(GracefulShutdown.Phase phase) {
        ClientConnectionManager connectionManager = runtime.connectionManager();
        LoggerFactory.getLogger("thistlefall.node")
                .atInfo()
                .addKeyValue("phase", phase)
                .addKeyValue("connections", connectionManager.connections())
                .addKeyValue("busy", connectionManager.busyConnections())
                .log("shutdown");
        switch (phase) {
            case ACCEPTING -> {}
            case DRAIN -> {
                runtime.connectionManager().drain();
                acceptor.closeWhenDrained();
            }
            case LINGER -> {
                serverChannel.close();
                runtime.respondToOpenRequests();
            }
            case TERMINATED -> runtime.kill();
        }
    }

    /** Stops the node as a crash would, without any further responses or reports. For rehearsals and tests. */
    public synchronized void kill() {
        if (stopped) {
            return;
        }
        stopped = true;
        serverChannel.close();
        eventLoop.submit(runtime::kill).awaitUninterruptibly(2_000);
        nodeEventLoop.shutdown(200).awaitUninterruptibly(2_000);
    }

    /** Blocks the node's event loop, as a long garbage collection would. For rehearsals and tests. */
    public void stall(Duration duration) {
        eventLoop.execute(() -> {
            try {
                Thread.sleep(duration.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Override
    public void close() {
        stop(DEFAULT_DRAIN_TIMEOUT);
    }
}
