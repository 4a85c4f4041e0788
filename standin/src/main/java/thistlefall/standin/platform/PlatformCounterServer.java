package thistlefall.standin.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An emulated counter of the platform, which speaks a line-based text protocol. Names never expire here. A faulty mode
 * stays in effect until the mode is changed. Commands run on one event loop; the mode may be set from any thread.
 */
public final class PlatformCounterServer {
    /** How the counter replies to calls. */
    public enum CounterMode {
        WELL,
        BUSY,
        ERROR,
        SILENT,
        NOISE,
        CUT
    }

    private final EventLoop loop;
    private final Map<String, BigDecimal> totals;
    private final Set<Channel> openConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile CounterMode mode = CounterMode.WELL;
    private Channel listener;

    /** Creates a counter that keeps its totals in the given map, which counters on other addresses may share. */
    public PlatformCounterServer(EventLoop loop, Map<String, BigDecimal> totals) {
        this.loop = loop;
        this.totals = totals;
    }

    /** Changes how the counter replies. */
    public void setMode(CounterMode newMode) {
        mode = newMode;
    }

    /** Number of calls received so far. */
    public int callCount() {
        return calls.get();
    }

    /** Number of open connections. */
    public int openConnectionCount() {
        return openConnections.size();
    }

    /** Listens on a free port and returns its address. Must not be called on the event loop. */
    public InetSocketAddress listen() {
        return listen(0);
    }

    /** Listens on a port of 127.0.0.1, which another server may have stopped listening on; 0 for any free port. */
    public InetSocketAddress listen(int port) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        openConnections.add(channel);
                        channel.closeFuture().addListener(closed -> openConnections.remove(channel));
                        channel.pipeline().addLast(new CommandDecoder());
                    }
                })
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops accepting connections; open connections are kept. */
    public void stopListening() {
        listener.close().syncUninterruptibly();
    }

    /** Stops accepting connections and closes the open ones. */
    public void close() {
        stopListening();
        openConnections.forEach(Channel::close);
    }

    private final class CommandDecoder extends ByteToMessageDecoder {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            int lineEnd = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
            if (lineEnd < 0) {
                return;
            }
            String line = in.readCharSequence(lineEnd - in.readerIndex(), StandardCharsets.US_ASCII)
                    .toString()
                    .strip();
            in.skipBytes(1);
            calls.incrementAndGet();
            String reply = evaluate(line.split(" "));
            switch (mode) {
                case SILENT -> {}
                case CUT -> context.close();
                case NOISE -> write(context, "ok \u0001none");
                default -> write(context, reply);
            }
        }

        private void write(ChannelHandlerContext context, String text) {
            context.writeAndFlush(ByteBufUtil.writeAscii(context.alloc(), text + "\r\n"));
        }

        private String evaluate(String[] words) {
            boolean validCommand = words.length == 4
                    && words[0].equals("incr")
                    && words[1].length() <= 64
                    && words[3].matches("\\d+")
                    && words[2].matches("-?\\d+(\\.\\d+)?");
            if (!validCommand || mode == CounterMode.ERROR) {
                return "error";
            }
            return mode == CounterMode.BUSY
                    ? "busy"
                    : "ok "
                            + totals.merge(words[1], new BigDecimal(words[2]), BigDecimal::add)
                                    .toPlainString();
        }
    }
}
