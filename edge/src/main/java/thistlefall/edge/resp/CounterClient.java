package thistlefall.edge.resp;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import thistlefall.Ports.Outcome;

/**
 * Calls to one part of the shared counter, pipelined over one connection. A call adds and reads in one transaction
 * ({@code MULTI, INCRBYFLOAT, PEXPIRE NX, EXEC}), so that a count that is new also gets its life.
 *
 * <p>Each call ends exactly once, and calls end in the order in which they were made:
 * <ul>
 *   <li>OK with the total;</li>
 *   <li>FULL if the counter says that nothing was added (an error in the transaction);</li>
 *   <li>CONNECT_FAILED if no byte of it was handed to a socket;</li>
 *   <li>TIMEOUT if there is no answer in time or the connection broke: it may have been added.</li>
 * </ul>
 * A late answer is recognised by its place in the connection's line and dropped; a connection that stays silent for
 * four time-outs is closed, since what it still holds could only come late. Reconnects back off, with chance.
 * All methods are called on the event loop.
 */
public final class CounterClient {
    /** Hears of a call's end, on the event loop. */
    public interface Done {
        /** The call has ended; the total counts only with OK. */
        void ended(Outcome outcome, double total);
    }

    private static final class Pending {
        private final Done done;
        private final long at;
        private boolean over;

        private Pending(Done done, long at) {
            this.done = done;
            this.at = at;
        }

        private void end(Outcome outcome, double total) {
            if (!over) {
                over = true;
                done.ended(outcome, total);
            }
        }
    }

    private static final int REPLIES = 4;
    private static final long BACK_OFF = 20_000_000L;
    private static final long BACK_OFF_MOST = 1_000_000_000L;
    private static final int MOST_PENDING = 10_000;

    private final EventLoop loop;
    private final SocketAddress address;
    private final SocketAddress source;
    private final long timeout;
    private final SplittableRandom random;
    private final ArrayDeque<Pending> line = new ArrayDeque<>();
    private final List<RespReply> replies = new ArrayList<>(REPLIES);
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long wait = BACK_OFF;
    private boolean flushing;

    /** A client that connects at once and stays connected. */
    public CounterClient(EventLoop loop, SocketAddress address, long timeout, long seed, String source) {
        this.loop = loop;
        this.address = address;
        this.timeout = timeout;
        this.source = source == null ? null : new InetSocketAddress(source, 0);
        random = new SplittableRandom(seed);
        loop.execute(this::connect);
    }

    /** Adds to a count that lives for {@code lifetime} nanoseconds from its first call. */
    public void add(String name, double amount, long lifetime, Done done) {
        if (channel == null || !channel.isActive() || line.size() >= MOST_PENDING) {
            // Not within the caller's own event: it has not finished asking.
            loop.execute(() -> done.ended(Outcome.CONNECT_FAILED, 0));
            return;
        }
        var pending = new Pending(done, System.nanoTime());
        line.add(pending);
        ByteBuf out = channel.alloc().ioBuffer(192);
        RespWriter.command(out, "MULTI");
        RespWriter.command(out, "INCRBYFLOAT", name, plain(amount));
        RespWriter.command(out, "PEXPIRE", name, Long.toString(Math.max(1, lifetime / 1_000_000)), "NX");
        RespWriter.command(out, "EXEC");
        channel.write(out, channel.voidPromise());
        if (!flushing) {
            // One write to the socket for all calls of a turn of the loop.
            flushing = true;
            loop.execute(this::flush);
        }
        loop.schedule(() -> overdue(pending), timeout, TimeUnit.NANOSECONDS);
    }

    private void flush() {
        flushing = false;
        if (channel != null) {
            channel.flush();
        }
    }

    private static String plain(double amount) {
        return new java.math.BigDecimal(amount).setScale(6, java.math.RoundingMode.HALF_EVEN)
            .stripTrailingZeros().toPlainString();
    }

    private void overdue(Pending pending) {
        pending.end(Outcome.TIMEOUT, 0);
        Pending first = line.peek();
        if (first != null && System.nanoTime() - first.at > 4 * timeout && channel != null) {
            channel.close();
        }
    }

    private void connect() {
        if (closed || connecting || channel != null) {
            return;
        }
        connecting = true;
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 500)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(new RespDecoder(), new Replies());
                }
            }).connect(address, source).addListener((ChannelFuture made) -> {
                connecting = false;
                if (!made.isSuccess()) {
                    later();
                } else if (closed) {
                    made.channel().close();
                } else {
                    channel = made.channel();
                }
            });
    }

    private void later() {
        if (!closed) {
            long span = (long) (wait * (0.5 + random.nextDouble()));
            wait = Math.min(BACK_OFF_MOST, wait * 2);
            loop.schedule(this::connect, span, TimeUnit.NANOSECONDS);
        }
    }

    /** Ends all calls and the connection. */
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Whether calls can be made at present. */
    public boolean connected() {
        return channel != null && channel.isActive();
    }

    private void replied(RespReply reply) {
        replies.add(reply);
        if (replies.size() < REPLIES) {
            return;
        }
        RespReply last = replies.get(REPLIES - 1);
        replies.clear();
        Pending pending = line.poll();
        if (pending == null) {
            channel.close();
            return;
        }
        wait = BACK_OFF;
        if (last instanceof RespReply.Array array && array.items() != null && !array.items().isEmpty()
            && array.items().get(0) instanceof RespReply.Bulk total && total.bytes() != null) {
            try {
                pending.end(Outcome.OK, Double.parseDouble(total.text()));
            } catch (NumberFormatException e) {
                pending.end(Outcome.TIMEOUT, 0);
                channel.close();
            }
        } else {
            // An error for the transaction or for its first command: nothing was added.
            boolean nothing = last instanceof RespReply.Error || last instanceof RespReply.Array array
                && array.items() != null && !array.items().isEmpty()
                && array.items().get(0) instanceof RespReply.Error;
            pending.end(nothing ? Outcome.FULL : Outcome.TIMEOUT, 0);
        }
    }

    private final class Replies extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            replied((RespReply) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                channel = null;
            }
            replies.clear();
            List<Pending> lost = List.copyOf(line);
            line.clear();
            lost.forEach(pending -> pending.end(Outcome.TIMEOUT, 0));
            later();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
