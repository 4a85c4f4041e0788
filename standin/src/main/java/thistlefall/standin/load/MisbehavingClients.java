package thistlefall.standin.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that misbehave at the protocol level: malformed requests, request heads that never end, and responses that
 * are read very slowly. The counts may be read from any thread.
 */
public final class MisbehavingClients {
    /** Requests that must get 400 or another syntax error response, after which the connection must be closed. */
    public static final List<String> MALFORMED = List.of(
            "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
            "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
            "GET / HTTP/1.1\nHost: a\n\n",
            "GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            "GET /" + "a".repeat(20_000) + " HTTP/1.1\r\nHost: a\r\n\r\n",
            "\u0000\u0001\u0002\r\n\r\n");

    private final EventLoop loop;
    private final AtomicInteger malformedSent = new AtomicInteger();
    private final AtomicInteger malformedRejected = new AtomicInteger();
    private final AtomicInteger slowClients = new AtomicInteger();

    /** Creates clients that run on an event loop. */
    public MisbehavingClients(EventLoop loop) {
        this.loop = loop;
    }

    /** Number of malformed requests sent. */
    public int malformedSent() {
        return malformedSent.get();
    }

    /** Number of malformed requests that got a 4xx or 5xx response before the connection was closed. */
    public int malformedRejected() {
        return malformedRejected.get();
    }

    /** Number of slow readers and slow heads started. */
    public int slowClients() {
        return slowClients.get();
    }

    /** Sends each malformed request once, each on its own connection. */
    public void sendMalformed(InetSocketAddress node) {
        for (String text : MALFORMED) {
            malformedSent.incrementAndGet();
            StringBuilder response = new StringBuilder();
            connect(
                    node,
                    new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelActive(ChannelHandlerContext context) {
                            context.writeAndFlush(toBuffer(text));
                        }

                        @Override
                        public void channelRead(ChannelHandlerContext context, Object message) {
                            ByteBuf in = (ByteBuf) message;
                            response.append(in.toString(StandardCharsets.ISO_8859_1));
                            in.release();
                        }

                        @Override
                        public void channelInactive(ChannelHandlerContext context) {
                            if (response.toString().matches("(?s)HTTP/1\\.1 [45]\\d\\d .*")) {
                                malformedRejected.incrementAndGet();
                            }
                        }
                    },
                    false);
        }
    }

    /** Starts a client that requests a large body and reads a kilobyte every tenth of a second. */
    public void slowReader(InetSocketAddress node, String path, String token, long durationMillis) {
        int clientNumber = slowClients.incrementAndGet();
        connect(
                node,
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        context.writeAndFlush(toBuffer("GET " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                                + token + "\r\nWant-Bytes: 4000000\r\nRequest-Id: slow-" + clientNumber + "\r\n\r\n"));
                        readPeriodically(context.channel());
                        loop.schedule(() -> context.close(), durationMillis, TimeUnit.MILLISECONDS);
                    }

                    private void readPeriodically(Channel channel) {
                        if (channel.isOpen()) {
                            channel.read();
                            loop.schedule(() -> readPeriodically(channel), 100, TimeUnit.MILLISECONDS);
                        }
                    }

                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        ((ByteBuf) message).release();
                    }
                },
                true);
    }

    /** Starts a client that sends a request head byte by byte and never completes it. */
    public void slowHead(InetSocketAddress node, long durationMillis) {
        slowClients.incrementAndGet();
        connect(
                node,
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        context.writeAndFlush(toBuffer("GET / HTTP/1.1\r\nHost: a\r\nX: "));
                        writePeriodically(context.channel());
                        loop.schedule(() -> context.close(), durationMillis, TimeUnit.MILLISECONDS);
                    }

                    private void writePeriodically(Channel channel) {
                        if (channel.isOpen()) {
                            channel.writeAndFlush(toBuffer("a"));
                            loop.schedule(() -> writePeriodically(channel), 200, TimeUnit.MILLISECONDS);
                        }
                    }

                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        ((ByteBuf) message).release();
                    }
                },
                false);
    }

    private static ByteBuf toBuffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private void connect(InetSocketAddress node, ChannelInboundHandlerAdapter handler, boolean readsSlowly) {
        var bootstrap =
                new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(handler);
        if (readsSlowly) {
            bootstrap
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.SO_RCVBUF, 4096)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1024));
        }
        bootstrap.connect(node);
    }
}
