package thistlefall.edge.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** The kinds of socket by their address: TCP, or a path in the file system. */
public final class Sockets {
    private Sockets() {
    }

    /** What connects to an address. */
    public static Bootstrap client(EventLoop loop, SocketAddress to, long connectMillis) {
        boolean tcp = to instanceof InetSocketAddress;
        var bootstrap = new Bootstrap().group(loop)
            .channel(tcp ? NioSocketChannel.class : NioDomainSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMillis));
        return tcp ? bootstrap.option(ChannelOption.TCP_NODELAY, true) : bootstrap;
    }

    /** What listens at an address. */
    public static Class<? extends ServerChannel> listener(SocketAddress at) {
        return at instanceof InetSocketAddress ? NioServerSocketChannel.class : NioServerDomainSocketChannel.class;
    }

    /** An address as a {@code Host} field names it. */
    public static String host(SocketAddress address) {
        return address instanceof InetSocketAddress tcp ? tcp.getHostString() + ":" + tcp.getPort() : "localhost";
    }
}
