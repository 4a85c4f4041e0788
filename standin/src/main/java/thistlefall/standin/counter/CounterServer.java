package thistlefall.standin.counter;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import thistlefall.edge.resp.RespDecoder;
import thistlefall.edge.resp.RespReply;
import thistlefall.edge.resp.RespWriter;
import thistlefall.standin.net.EmulatedNetwork;

/**
 * An emulated counter that speaks the part of RESP2 that a counter needs, written from Redis's published command pages:
 * PING, ECHO, MULTI, EXEC, DISCARD, GET, SET, DEL, INCRBY, INCRBYFLOAT, PEXPIRE with NX, PTTL, DBSIZE, FLUSHALL.
 * A script can make it send no replies, reply late, process transactions at a limited rate with a backlog, lose some of
 * its counts, or crash and come back empty. Commands run on the event loop; the switches may be called from any thread
 * unless noted.
 */
public final class CounterServer {
    private record StoredValue(String text, long expiresAt) {}

    private final EventLoop loop;
    private final EmulatedNetwork network;
    private final String zone;
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Set<Channel> openConnections = ConcurrentHashMap.newKeySet();
    private final AtomicLong calls = new AtomicLong();
    private final SplittableRandom random;
    private volatile boolean repliesSuppressed;
    private volatile long delayMillis;
    private volatile double transactionsPerSecond;
    /** The {@link System#nanoTime()} at which the backlog of transactions is processed at the configured rate. */
    private long backlogClearedAt;

    private Channel listener;
    private InetSocketAddress address;

    /** Creates an empty counter in a zone of an emulated network; {@code network} may be null. */
    public CounterServer(EventLoop loop, EmulatedNetwork network, String zone, long seed) {
        this.loop = loop;
        this.network = network;
        this.zone = zone;
        random = new SplittableRandom(seed);
    }

    /** Binds to the address and blocks until it listens. Must not be called on the event loop. */
    public void listen(String host, int port) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        openConnections.add(channel);
                        channel.closeFuture().addListener(closed -> openConnections.remove(channel));
                        if (network != null) {
                            channel.pipeline().addLast(network.linkHandler(zone));
                        }
                        channel.pipeline().addLast(new RespDecoder(), new ConnectionHandler());
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** The address that the counter is or was last bound to. */
    public InetSocketAddress address() {
        return address;
    }

    /** Number of transactions and of single commands outside a transaction so far. */
    public long calls() {
        return calls.get();
    }

    /** Suppresses all replies, or sends them again; commands are still executed. */
    public void suppressReplies(boolean on) {
        repliesSuppressed = on;
    }

    /** Delays each reply by this many milliseconds; 0 for no delay. */
    public void setReplyDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Limits the rate of transactions; replies to the excess wait in a queue. 0 for no limit. */
    public void setTransactionsPerSecond(double perSecond) {
        transactionsPerSecond = perSecond;
    }

    /** Deletes each key with the given probability. */
    public void loseKeys(double probability) {
        loop.execute(() -> values.keySet().removeIf(name -> random.nextDouble() < probability));
    }

    /** Crashes: closes the listener and all connections and loses all counts. */
    public void crash() {
        listener.close();
        openConnections.forEach(Channel::close);
        loseKeys(1.1);
    }

    /** Crashes as {@link #crash} does but keeps its counts. */
    public void crashKeepingData() {
        listener.close();
        openConnections.forEach(Channel::close);
    }

    /** Listens on its previous address again. Must not be called on the event loop. */
    public void restart() {
        listen(address.getHostString(), address.getPort());
    }

    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        private List<List<String>> queuedCommands;
        private boolean transactionInvalid;
        private long lastReplyAt = System.nanoTime();
        /** Delayed replies in order; timers due within a microsecond of each other may fire in any order. */
        private final ArrayDeque<ByteBuf> delayedReplies = new ArrayDeque<>();

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf out = context.alloc().buffer(128);
            List<String> arguments = parseArguments(message);
            if (arguments == null) {
                RespWriter.writeLine(out, '-', "ERR Protocol error: expected an array of bulk strings");
                context.writeAndFlush(out);
                context.close();
                return;
            }
            long callsBefore = calls.get();
            handleCommand(arguments, out);
            long now = System.nanoTime();
            long waitNanos = delayMillis * 1_000_000;
            if (transactionsPerSecond > 0 && calls.get() > callsBefore) {
                backlogClearedAt = Math.max(backlogClearedAt, now) + (long) (1e9 / transactionsPerSecond);
                waitNanos = Math.max(waitNanos, backlogClearedAt - now);
            }
            if (repliesSuppressed) {
                out.release();
            } else if (waitNanos > 0 || lastReplyAt > now) {
                // Keeps the replies in order, also right after the delay was reduced.
                lastReplyAt = Math.max(lastReplyAt + 1, now + waitNanos);
                delayedReplies.add(out);
                loop.schedule(
                        () -> context.writeAndFlush(delayedReplies.remove()),
                        lastReplyAt - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
            } else {
                context.write(out, context.voidPromise());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.flush();
        }

        private static List<String> parseArguments(Object message) {
            if (!(message instanceof RespReply.Array array)
                    || array.items() == null
                    || array.items().isEmpty()) {
                return null;
            }
            List<String> arguments = new ArrayList<>();
            for (RespReply item : array.items()) {
                if (!(item instanceof RespReply.Bulk bulk) || bulk.bytes() == null) {
                    return null;
                }
                arguments.add(bulk.text());
            }
            return arguments;
        }

        private void handleCommand(List<String> arguments, ByteBuf out) {
            String name = arguments.get(0).toUpperCase(Locale.ROOT);
            switch (name) {
                case "MULTI" -> {
                    if (queuedCommands != null) {
                        RespWriter.writeLine(out, '-', "ERR MULTI calls can not be nested");
                        return;
                    }
                    queuedCommands = new ArrayList<>();
                    transactionInvalid = false;
                    RespWriter.writeLine(out, '+', "OK");
                }
                case "DISCARD" -> {
                    RespWriter.writeLine(
                            out,
                            queuedCommands == null ? '-' : '+',
                            queuedCommands == null ? "ERR DISCARD without MULTI" : "OK");
                    queuedCommands = null;
                }
                case "EXEC" -> executeTransaction(out);
                default -> {
                    String error = validationError(name, arguments);
                    if (error != null) {
                        transactionInvalid = true;
                        RespWriter.writeLine(out, '-', error);
                    } else if (queuedCommands != null) {
                        queuedCommands.add(arguments);
                        RespWriter.writeLine(out, '+', "QUEUED");
                    } else {
                        calls.incrementAndGet();
                        execute(name, arguments, out);
                    }
                }
            }
        }

        private void executeTransaction(ByteBuf out) {
            List<List<String>> commands = queuedCommands;
            queuedCommands = null;
            if (commands == null) {
                RespWriter.writeLine(out, '-', "ERR EXEC without MULTI");
            } else if (transactionInvalid) {
                RespWriter.writeLine(out, '-', "EXECABORT Transaction discarded because of previous errors.");
            } else {
                calls.incrementAndGet();
                RespWriter.writeLine(out, '*', Integer.toString(commands.size()));
                commands.forEach(arguments -> execute(arguments.get(0).toUpperCase(Locale.ROOT), arguments, out));
            }
        }
    }

    private static String validationError(String name, List<String> arguments) {
        int[] arity =
                switch (name) {
                    case "PING" -> new int[] {1, 2};
                    case "FLUSHALL" -> new int[] {1, 2};
                    case "DBSIZE" -> new int[] {1, 1};
                    case "ECHO", "GET", "PTTL" -> new int[] {2, 2};
                    case "DEL" -> new int[] {2, 1024};
                    case "SET", "INCRBY", "INCRBYFLOAT" -> new int[] {3, 3};
                    case "PEXPIRE" -> new int[] {3, 4};
                    default -> null;
                };
        if (arity == null) {
            return "ERR unknown command '" + arguments.get(0) + "'";
        }
        return arguments.size() < arity[0] || arguments.size() > arity[1]
                ? "ERR wrong number of arguments for '" + name.toLowerCase(Locale.ROOT) + "' command"
                : null;
    }

    private void execute(String name, List<String> arguments, ByteBuf out) {
        switch (name) {
            case "PING" -> {
                if (arguments.size() == 1) {
                    RespWriter.writeLine(out, '+', "PONG");
                } else {
                    RespWriter.writeBulkString(out, arguments.get(1));
                }
            }
            case "ECHO" -> RespWriter.writeBulkString(out, arguments.get(1));
            case "DBSIZE" -> RespWriter.writeLine(out, ':', Integer.toString(values.size()));
            case "FLUSHALL" -> {
                values.clear();
                RespWriter.writeLine(out, '+', "OK");
            }
            case "GET" -> {
                StoredValue value = unexpiredValue(arguments.get(1));
                RespWriter.writeBulkString(out, value == null ? null : value.text);
            }
            case "SET" -> {
                values.put(arguments.get(1), new StoredValue(arguments.get(2), 0));
                RespWriter.writeLine(out, '+', "OK");
            }
            case "DEL" -> RespWriter.writeLine(
                    out,
                    ':',
                    Long.toString(arguments.stream()
                            .skip(1)
                            .filter(key -> unexpiredValue(key) != null && values.remove(key) != null)
                            .count()));
            case "INCRBY" -> increment(arguments, false, out);
            case "INCRBYFLOAT" -> increment(arguments, true, out);
            case "PEXPIRE" -> setExpiry(arguments, out);
            case "PTTL" -> {
                StoredValue value = unexpiredValue(arguments.get(1));
                long remainingMillis = value == null
                        ? -2
                        : value.expiresAt == 0 ? -1 : (value.expiresAt - System.nanoTime()) / 1_000_000;
                RespWriter.writeLine(out, ':', Long.toString(remainingMillis));
            }
            default -> throw new IllegalStateException(name);
        }
    }

    private StoredValue unexpiredValue(String key) {
        StoredValue value = values.get(key);
        if (value != null && value.expiresAt != 0 && value.expiresAt - System.nanoTime() <= 0) {
            values.remove(key);
            return null;
        }
        return value;
    }

    private void increment(List<String> arguments, boolean decimal, ByteBuf out) {
        StoredValue value = unexpiredValue(arguments.get(1));
        try {
            BigDecimal sum = new BigDecimal(value == null ? "0" : value.text).add(new BigDecimal(arguments.get(2)));
            if (!decimal && (sum.scale() > 0 || sum.abs().compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0)) {
                throw new NumberFormatException();
            }
            String text = sum.signum() == 0 ? "0" : sum.stripTrailingZeros().toPlainString();
            values.put(arguments.get(1), new StoredValue(text, value == null ? 0 : value.expiresAt));
            if (decimal) {
                RespWriter.writeBulkString(out, text);
            } else {
                RespWriter.writeLine(out, ':', text);
            }
        } catch (NumberFormatException e) {
            RespWriter.writeLine(
                    out,
                    '-',
                    decimal ? "ERR value is not a valid float" : "ERR value is not an integer or out of range");
        }
    }

    private void setExpiry(List<String> arguments, ByteBuf out) {
        StoredValue value = unexpiredValue(arguments.get(1));
        long lifetimeMillis;
        try {
            lifetimeMillis = Long.parseLong(arguments.get(2));
        } catch (NumberFormatException e) {
            RespWriter.writeLine(out, '-', "ERR value is not an integer or out of range");
            return;
        }
        boolean onlyIfNoExpiry = arguments.size() == 4;
        if (onlyIfNoExpiry && !arguments.get(3).equalsIgnoreCase("NX")) {
            RespWriter.writeLine(out, '-', "ERR Unsupported option " + arguments.get(3));
            return;
        }
        boolean applied = value != null && !(onlyIfNoExpiry && value.expiresAt != 0);
        if (applied) {
            long expiresAt = System.nanoTime() + lifetimeMillis * 1_000_000;
            values.put(arguments.get(1), new StoredValue(value.text, expiresAt == 0 ? 1 : expiresAt));
        }
        RespWriter.writeLine(out, ':', applied ? "1" : "0");
    }
}
