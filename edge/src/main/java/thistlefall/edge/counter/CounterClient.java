package thistlefall.edge.counter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import thistlefall.Ports.Outcome;
import thistlefall.edge.upstream.ChannelErrors;
import thistlefall.edge.upstream.Transports;

/**
 * The client of one part of the shared counter. It pipelines all calls over one connection.
 *
 * <p>Each call ends exactly once, in the order of the calls, with one of these outcomes:
 * <ul>
 *   <li>OK: added, with the total;</li>
 *   <li>FULL: the counter replied that nothing was added;</li>
 *   <li>CONNECT_FAILED: no byte of the call was passed to a socket;</li>
 *   <li>TIMEOUT: there was no reply in time, the reply was invalid, or the connection broke. The amount may have been
 *       added.</li>
 * </ul>
 * A late reply is recognised by its position in the order of replies and is dropped. A connection that receives nothing
 * for four timeouts while a reply is outstanding is closed, because it may be dead without the socket reporting it. A
 * connection that receives only late replies is closed, too. Reconnects use exponential backoff with jitter. All
 * methods are called on the event loop.
 */
public final class CounterClient {
    private static final class PendingCall {
        private final CounterService.CounterCallback callback;
        private final long startedAt;
        private boolean ended;

        private PendingCall(CounterService.CounterCallback callback, long startedAt) {
            this.callback = callback;
            this.startedAt = startedAt;
        }

        private void end(Outcome outcome, double total) {
            if (!ended) {
                ended = true;
                callback.callEnded(outcome, total);
            }
        }
    }

    private static final long MIN_BACKOFF_NANOS = 20_000_000L;
    private static final long MAX_BACKOFF_NANOS = 1_000_000_000L;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** With more late replies than this in a row, the counter is far behind or has skipped a call. */
    private static final int MAX_CONSECUTIVE_LATE_REPLIES = 8;

    private static final int MAX_PENDING_CALLS = 10_000;
    /** A connection without a received reply for more than this number of timeouts is closed. */
    private static final long MAX_SILENT_TIMEOUTS = 4;

    private final EventLoop loop;
    private final CounterProtocol protocol;
    private final SocketAddress address;
    private final SocketAddress sourceAddress;
    private final long timeout;
    private final SplittableRandom random;
    private final ArrayDeque<PendingCall> callsAwaitingReply = new ArrayDeque<>();
    /** Calls in the order in which they time out; a call that has ended stays until it is first. */
    private final ArrayDeque<PendingCall> callsByTimeout = new ArrayDeque<>();

    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long backoff = MIN_BACKOFF_NANOS;
    private boolean flushScheduled;
    private boolean timeoutCheckScheduled;
    private boolean draining;
    private int consecutiveLateReplies;
    private Runnable onConnected;
    /** How long nothing was received while a reply was outstanding, measured up to {@link #silenceCountedAt}. */
    private long silentNanos;

    private long silenceCountedAt;

    /**
     * A client that connects at once and reconnects after a failure. The timeout is in nanoseconds; {@code
     * sourceAddress} is the local address to connect from, or null for any.
     */
    public CounterClient(
            EventLoop loop,
            CounterProtocol protocol,
            SocketAddress address,
            long timeout,
            long seed,
            String sourceAddress) {
        this.loop = loop;
        this.protocol = protocol;
        this.address = address;
        this.timeout = timeout;
        this.sourceAddress = sourceAddress == null ? null : new InetSocketAddress(sourceAddress, 0);
        random = new SplittableRandom(seed);
        loop.execute(this::connect);
    }

    /** Adds to a count that expires {@code lifetime} nanoseconds after its first call. */
    public void add(String name, double amount, long lifetime, CounterService.CounterCallback callback) {
        if (!isConnected() || callsAwaitingReply.size() >= MAX_PENDING_CALLS) {
            // The callback must not run before this method returns, because the caller has not finished making its call
            // until then.
            loop.execute(() -> callback.callEnded(Outcome.CONNECT_FAILED, 0));
            return;
        }
        long now = System.nanoTime();
        var pending = new PendingCall(callback, now);
        if (callsAwaitingReply.isEmpty()) {
            resetSilence(now);
        }
        callsAwaitingReply.add(pending);
        callsByTimeout.add(pending);
        ByteBuf buffer = channel.alloc().ioBuffer(192);
        protocol.writeCall(buffer, name, amount, Math.max(1, lifetime / 1_000_000));
        channel.write(buffer, channel.voidPromise());
        if (!flushScheduled) {
            // One write to the socket for all calls of one iteration of the event loop.
            flushScheduled = true;
            loop.execute(this::flush);
        }
        scheduleTimeoutCheck(timeout);
    }

    /** One timer serves all calls, because they time out in their order. */
    private void scheduleTimeoutCheck(long delay) {
        if (!timeoutCheckScheduled) {
            timeoutCheckScheduled = true;
            loop.schedule(this::checkTimeouts, delay, TimeUnit.NANOSECONDS);
        }
    }

    private void checkTimeouts() {
        timeoutCheckScheduled = false;
        long now = System.nanoTime();
        while (!callsByTimeout.isEmpty()
                && (callsByTimeout.peek().ended || now - callsByTimeout.peek().startedAt >= timeout)) {
            callsByTimeout.poll().end(Outcome.TIMEOUT, 0);
        }
        // If the event loop itself was delayed, replies may be waiting unread: count one timeout at most.
        silentNanos += Math.min(timeout, now - silenceCountedAt);
        silenceCountedAt = now;
        if (!callsAwaitingReply.isEmpty() && silentNanos > MAX_SILENT_TIMEOUTS * timeout && channel != null) {
            channel.close();
        }
        if (!callsByTimeout.isEmpty()) {
            scheduleTimeoutCheck(timeout - (now - callsByTimeout.peek().startedAt));
        } else if (!callsAwaitingReply.isEmpty()) {
            scheduleTimeoutCheck(timeout);
        }
    }

    private void resetSilence(long now) {
        silentNanos = 0;
        silenceCountedAt = now;
    }

    private void flush() {
        flushScheduled = false;
        if (channel != null) {
            channel.flush();
        }
    }

    private void connect() {
        if (closed || draining || connecting || channel != null) {
            return;
        }
        connecting = true;
        var bootstrap = Transports.bootstrap(loop, address, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        protocol.addDecoders(newChannel.pipeline());
                        newChannel.pipeline().addLast(new ReplyHandler());
                    }
                });
        Transports.connect(bootstrap, loop, address, sourceAddress, this::connectCompleted);
    }

    private void connectCompleted(ChannelFuture connectFuture) {
        connecting = false;
        if (!connectFuture.isSuccess()) {
            scheduleReconnect();
        } else if (closed) {
            connectFuture.channel().close();
        } else {
            channel = connectFuture.channel();
            Runnable task = onConnected;
            onConnected = null;
            if (task != null) {
                task.run();
            }
        }
    }

    private void scheduleReconnect() {
        if (!closed && !draining) {
            long delay = (long) (backoff * (0.5 + random.nextDouble()));
            backoff = Math.min(MAX_BACKOFF_NANOS, backoff * 2);
            loop.schedule(this::connect, delay, TimeUnit.NANOSECONDS);
        }
    }

    /** Closes the connection, which ends all calls. */
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Runs a task once the client is connected: at once if it is, otherwise after the next connect. */
    public void whenConnected(Runnable task) {
        if (isConnected()) {
            task.run();
        } else {
            onConnected = task;
        }
    }

    /** Whether the client is connected, so that calls can be made. */
    public boolean isConnected() {
        return channel != null && channel.isActive();
    }

    /** Whether all calls have ended. */
    public boolean isIdle() {
        return callsByTimeout.stream().allMatch(pending -> pending.ended);
    }

    /** Stops reconnecting, and closes the connection after the replies to all outstanding calls. */
    public void drain() {
        draining = true;
        if (callsAwaitingReply.isEmpty()) {
            close();
        }
    }

    private void handleReply(CounterProtocol.CounterReply reply) {
        resetSilence(System.nanoTime());
        PendingCall pending = callsAwaitingReply.poll();
        if (pending == null) {
            channel.close();
            return;
        }
        backoff = MIN_BACKOFF_NANOS;
        consecutiveLateReplies = pending.ended ? consecutiveLateReplies + 1 : 0;
        pending.end(reply.outcome(), reply.total());
        if (channel != null
                && (reply.connectionBroken()
                        || consecutiveLateReplies > MAX_CONSECUTIVE_LATE_REPLIES
                        || draining && callsAwaitingReply.isEmpty())) {
            channel.close();
        }
    }

    private final class ReplyHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (channel == context.channel()) {
                handleReply((CounterProtocol.CounterReply) message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                channel = null;
            }
            List<PendingCall> lost = List.copyOf(callsAwaitingReply);
            callsAwaitingReply.clear();
            callsByTimeout.clear();
            consecutiveLateReplies = 0;
            lost.forEach(pending -> pending.end(Outcome.TIMEOUT, 0));
            scheduleReconnect();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ChannelErrors.report(context.channel(), cause);
            context.close();
        }
    }
}
