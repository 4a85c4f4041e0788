package thistlefall.edge.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistlefall.attempt.End;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.http.ResponseDecoder;

/**
 * The connections to one server, on one event loop. The one used last is taken first, so that a quiet spell lets the
 * others go idle and close.
 */
public final class ServerPool {
    /** What comes of asking for a connection; exactly one is called, perhaps at once. */
    public interface Taker {
        /** A connection that was open just now. */
        void ready(ServerConnection connection);

        /** There is none. */
        void none(End why);
    }

    /**
     * The figures of a pool.
     *
     * @param maxConnections most connections, those being made included
     * @param connectTimeout nanoseconds
     * @param idleTimeout nanoseconds
     * @param source the address to connect from; null for any
     */
    public record Limits(int maxConnections, long connectTimeout, long idleTimeout, String source) {
    }

    private final EventLoop loop;
    private final SocketAddress address;
    private final Limits limits;
    private final HttpLimits http;
    private final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    private final Set<ServerConnection> open = new HashSet<>();
    private int connecting;
    private boolean draining;
    private boolean sweeping;

    /** An empty pool. */
    public ServerPool(EventLoop loop, SocketAddress address, Limits limits, HttpLimits http) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.http = http;
    }

    /** Where it connects. */
    public SocketAddress address() {
        return address;
    }

    /** Connections open or being made. */
    public int connections() {
        return open.size() + connecting;
    }

    /** Takes a connection for one exchange. */
    public void take(Exchanger user, boolean headMethod, Taker taker) {
        for (ServerConnection kept = idle.pollLast(); kept != null; kept = idle.pollLast()) {
            if (kept.fit()) {
                kept.use(user, headMethod);
                taker.ready(kept);
                return;
            }
        }
        if (connections() >= limits.maxConnections() || draining) {
            taker.none(End.NO_PLACE);
            return;
        }
        connect(user, headMethod, taker);
    }

    private void connect(Exchanger user, boolean headMethod, Taker taker) {
        connecting++;
        var decoder = new ResponseDecoder(http);
        var bootstrap = Sockets.client(loop, address, limits.connectTimeout() / 1_000_000)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(decoder);
                }
            });
        InetSocketAddress source = limits.source() == null ? null : new InetSocketAddress(limits.source(), 0);
        bootstrap.connect(address, source).addListener((io.netty.channel.ChannelFuture made) -> {
            connecting--;
            if (!made.isSuccess()) {
                taker.none(made.cause() instanceof ConnectTimeoutException ? End.CONNECT_OVERDUE : End.REFUSED);
                return;
            }
            Channel channel = made.channel();
            var connection = new ServerConnection(this, channel, decoder);
            open.add(connection);
            channel.pipeline().addLast(connection);
            if (!channel.isActive()) {
                open.remove(connection);
                taker.none(End.REFUSED);
                return;
            }
            if (draining) {
                // The word that it drains came while the connection was made.
                channel.close();
                taker.none(End.NO_PLACE);
                return;
            }
            connection.use(user, headMethod);
            taker.ready(connection);
        });
    }

    void release(ServerConnection connection) {
        if (draining) {
            connection.channel().close();
            return;
        }
        connection.idleSince = System.nanoTime();
        idle.addLast(connection);
        sweepLater(limits.idleTimeout());
    }

    /** One timer a pool: one a release would fill the loop's heap with thousands that find nothing to do. */
    private void sweepLater(long span) {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(this::sweep, span, TimeUnit.NANOSECONDS);
        }
    }

    /** Closes what has been idle too long; the eldest stand first. */
    private void sweep() {
        sweeping = false;
        long now = System.nanoTime();
        for (ServerConnection eldest = idle.peekFirst(); eldest != null; eldest = idle.peekFirst()) {
            long left = limits.idleTimeout() - (now - eldest.idleSince);
            if (left > 0) {
                sweepLater(left);
                return;
            }
            idle.pollFirst();
            eldest.channel().close();
        }
    }

    void closed(ServerConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    /** Closes what is idle, now and from now on; what is in use goes on to its end. */
    public void drain() {
        draining = true;
        for (ServerConnection kept = idle.pollFirst(); kept != null; kept = idle.pollFirst()) {
            kept.channel().close();
        }
    }

    /** Ends a drain: the server is back. */
    public void resume() {
        draining = false;
    }

    /** Closes everything. */
    public void close() {
        drain();
        Set.copyOf(open).forEach(connection -> connection.channel().close());
    }
}
