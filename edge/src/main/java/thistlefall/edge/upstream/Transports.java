package thistlefall.edge.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Selects the Netty transport by the type of address: TCP, or the in-process one for a {@code LocalAddress}. */
public final class Transports {
    private Transports() {}

    private static boolean isTcp(SocketAddress address) {
        return address instanceof InetSocketAddress;
    }

    /** The I/O handler factory for an event loop that serves addresses of this type. */
    public static IoHandlerFactory ioHandlerFactory(SocketAddress address) {
        return isTcp(address) ? NioIoHandler.newFactory() : LocalIoHandler.newFactory();
    }

    /** A bootstrap for connections to an address. */
    public static Bootstrap bootstrap(EventLoop loop, SocketAddress remoteAddress, long connectTimeoutMillis) {
        var bootstrap = new Bootstrap()
                .group(loop)
                .channel(isTcp(remoteAddress) ? UpstreamSocketChannel.class : LocalChannel.class)
                .option(ChannelOption.ALLOCATOR, NodeAllocator.INSTANCE)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis));
        return isTcp(remoteAddress) ? bootstrap.option(ChannelOption.TCP_NODELAY, true) : bootstrap;
    }

    /**
     * Connects, from a local address unless that is null. The listener is called on the event loop, also if no socket
     * could be opened: such a channel belongs to no event loop, and its future would call another thread.
     */
    public static void connect(
            Bootstrap bootstrap,
            EventLoop loop,
            SocketAddress remoteAddress,
            SocketAddress localAddress,
            Consumer<ChannelFuture> listener) {
        bootstrap.connect(remoteAddress, localAddress).addListener((ChannelFuture connectFuture) -> {
            if (loop.inEventLoop()) {
                listener.accept(connectFuture);
            } else {
                loop.execute(() -> listener.accept(connectFuture));
            }
        });
    }

    /** The channel class that listens on an address. */
    public static Class<? extends ServerChannel> serverChannelClass(SocketAddress localAddress) {
        return isTcp(localAddress) ? NioServerSocketChannel.class : LocalServerChannel.class;
    }

    /**
     * Closes a connection by a reset, so that the system discards what it has not delivered. After an orderly close it
     * goes on delivering that, for as long as the peer takes.
     */
    public static void reset(Channel channel) {
        if (channel instanceof SocketChannel socketChannel && socketChannel.isActive()) {
            socketChannel.config().setSoLinger(0);
        }
        channel.close();
    }

    /** An address as the value of a {@code Host} field. */
    public static String hostHeader(SocketAddress address) {
        return address instanceof InetSocketAddress inetAddress
                ? inetAddress.getHostString() + ":" + inetAddress.getPort()
                : "localhost";
    }
}
