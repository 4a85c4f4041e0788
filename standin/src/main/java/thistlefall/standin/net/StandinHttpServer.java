package thistlefall.standin.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import thistlefall.edge.http.BodyEnd;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MalformedMessageException;
import thistlefall.edge.http.MessageHead;
import thistlefall.edge.http.RequestDecoder;

/**
 * A small HTTP server for emulated systems. Subclasses get complete requests, with about the first 64 KiB of the body.
 * Requests are handled on one event loop.
 */
public abstract class StandinHttpServer {
    private static final int MAX_KEPT_BODY_BYTES = 64 * 1024;

    /** A received request, with the methods that respond to it. */
    public final class InboundRequest {
        private final Channel channel;
        private final MessageHead.RequestHead head;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private boolean responseStarted;

        private InboundRequest(Channel channel, MessageHead.RequestHead head) {
            this.channel = channel;
            this.head = head;
        }

        public MessageHead.RequestHead head() {
            return head;
        }

        /** Returns the first value of a header field; empty if the field is absent. */
        public String field(String lowerName) {
            String value = head.fields().get(lowerName);
            return value == null ? "" : value;
        }

        /** Returns the kept beginning of the body. */
        public byte[] body() {
            return body.toByteArray();
        }

        /** Returns the IP address of the peer. */
        public String peerAddress() {
            return EmulatedNetwork.peerAddress(channel);
        }

        /** Returns a unique id of the connection that the request arrived on. */
        public String connectionId() {
            return channel.id().asLongText();
        }

        /** Whether the connection is still open. */
        public boolean isConnected() {
            return channel.isActive();
        }

        /** Sends a response and returns whether the connection was still open to write it to. */
        public boolean respond(int status, Map<String, String> fields, byte[] content) {
            return write(status, fields, content, content.length);
        }

        /** Announces the full content length but writes only half of the body, then resets the connection. */
        public void respondTruncated(int status, Map<String, String> fields, byte[] content) {
            write(status, fields, java.util.Arrays.copyOf(content, content.length / 2), content.length);
            disconnect();
        }

        private boolean write(int status, Map<String, String> fields, byte[] content, int declaredLength) {
            if (responseStarted) {
                throw new IllegalStateException("response already sent");
            }
            responseStarted = true;
            if (!channel.isActive()) {
                return false;
            }
            ByteBuf out = HttpWriter.beginResponse(channel.alloc(), status);
            fields.forEach((name, value) -> HttpWriter.writeField(out, name, value));
            HttpWriter.writeContentLength(out, declaredLength);
            HttpWriter.endHead(out);
            if (!head.method().equals("HEAD")) {
                out.writeBytes(content);
            }
            var written = channel.writeAndFlush(out);
            if (!head.keepAlive()) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            return true;
        }

        /** Starts a chunked response that stays open; {@link #chunk} sends its parts. */
        public void startStream(int status) {
            responseStarted = true;
            ByteBuf out = HttpWriter.beginResponse(channel.alloc(), status);
            channel.writeAndFlush(HttpWriter.endHead(HttpWriter.writeFraming(out, Framing.CHUNKED, false)));
        }

        /** Sends one chunk of a chunked response. Must be called on the event loop. */
        public void chunk(String text) {
            HttpWriter.writeBodyPiece(
                    channel, channel.alloc().buffer().writeBytes(text.getBytes(StandardCharsets.UTF_8)), true);
        }

        /** Writes raw bytes instead of a response and keeps the connection open. */
        public void writeRaw(String text) {
            responseStarted = true;
            channel.writeAndFlush(channel.alloc().buffer().writeBytes(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** Writes raw bytes instead of a response and closes the connection. */
        public void respondGarbled(String text) {
            responseStarted = true;
            channel.writeAndFlush(channel.alloc().buffer().writeBytes(text.getBytes(StandardCharsets.ISO_8859_1)))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        /** Resets the connection without a response. */
        public void disconnect() {
            if (channel instanceof SocketChannel socket && socket.isActive()) {
                socket.config().setSoLinger(0);
            }
            channel.close();
        }
    }

    private final EventLoop loop;
    private final EmulatedNetwork network;
    private final String zone;
    private final Set<Channel> openConnections = ConcurrentHashMap.newKeySet();
    private InetSocketAddress address;
    private Channel listener;

    /** Creates a server for an event loop, in a zone of an emulated network; {@code network} may be null. */
    protected StandinHttpServer(EventLoop loop, EmulatedNetwork network, String zone) {
        this.loop = loop;
        this.network = network;
        this.zone = zone;
    }

    /** Handles a complete request. Called on the event loop; the response may be sent later, from the event loop. */
    protected abstract void handle(InboundRequest inbound);

    /** Called when the head of a request has arrived; false resets the connection at once. */
    protected boolean acceptsHead(InboundRequest inbound) {
        return true;
    }

    /** The event loop that the server runs on. */
    public final EventLoop loop() {
        return loop;
    }

    /** The address that the server is or was last bound to. */
    public final InetSocketAddress address() {
        return address;
    }

    /** Binds to the address, port 0 for any free one, and blocks until it listens. Must not run on the event loop. */
    public final void listen(String host, int port) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        openConnections.add(channel);
                        channel.closeFuture().addListener(closed -> openConnections.remove(channel));
                        if (network != null) {
                            channel.pipeline().addLast(network.linkHandler(zone));
                        }
                        channel.pipeline().addLast(new RequestDecoder(HttpLimits.DEFAULT), new RequestAggregator());
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Takes no further connections; open ones stay. */
    public final void stopListening() {
        if (listener != null) {
            ChannelFuture closed = listener.close();
            listener = null;
            if (!loop.inEventLoop()) {
                closed.syncUninterruptibly();
            }
        }
    }

    /** Stops listening and resets every connection, as happens when a process is killed. */
    public final void kill() {
        stopListening();
        // Each channel is reset on its own event loop. On another thread the socket could be closed between the check
        // whether it is active and setting its linger option.
        openConnections.forEach(channel -> {
            if (channel.eventLoop().inEventLoop()) {
                reset(channel);
            } else {
                channel.eventLoop().execute(() -> reset(channel));
            }
        });
    }

    private static void reset(Channel channel) {
        if (channel instanceof SocketChannel socket && socket.isActive()) {
            socket.config().setSoLinger(0);
        }
        channel.close();
    }

    /** Listens on the previous address again. Must not be called on the event loop. */
    public final void relisten() {
        listen(address.getHostString(), address.getPort());
    }

    private final class RequestAggregator extends ChannelInboundHandlerAdapter {
        private InboundRequest inbound;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof MessageHead.RequestHead head) {
                inbound = new InboundRequest(context.channel(), head);
                if (!acceptsHead(inbound)) {
                    inbound.disconnect();
                    inbound = null;
                }
            } else if (message instanceof ByteBuf chunk) {
                if (inbound != null && inbound.body.size() < MAX_KEPT_BODY_BYTES) {
                    byte[] bytes = new byte[Math.min(chunk.readableBytes(), MAX_KEPT_BODY_BYTES)];
                    chunk.readBytes(bytes);
                    inbound.body.writeBytes(bytes);
                }
                chunk.release();
            } else if (message instanceof BodyEnd) {
                if (inbound != null) {
                    InboundRequest completeRequest = inbound;
                    inbound = null;
                    handle(completeRequest);
                }
            } else if (message instanceof MalformedMessageException) {
                context.close();
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
