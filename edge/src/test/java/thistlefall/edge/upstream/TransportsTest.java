package thistlefall.edge.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TransportsTest {
    private static final class NoHandler extends ChannelHandlerAdapter {}

    /** The state of the node belongs to its event loop; another thread must not change it. */
    @Test
    void failureToOpenASocketIsReportedOnTheEventLoop() throws Exception {
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = loops.next();
            var address = new InetSocketAddress("127.0.0.1", 1);
            var bootstrap = new Bootstrap().group(loop).handler(new NoHandler()).channelFactory(() -> {
                throw new ChannelException("no descriptor");
            });
            var onLoop = new CompletableFuture<Boolean>();
            Transports.connect(bootstrap, loop, address, null, connectFuture -> {
                assertFalse(connectFuture.isSuccess());
                onLoop.complete(loop.inEventLoop());
            });
            assertTrue(onLoop.get(10, TimeUnit.SECONDS));
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
