package thistlefall.edge.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Continues accepting connections after a failure to accept one. The system has completed the connection, and its
 * client's time runs, so the next try follows soon; a pause keeps the event loop free while there is no descriptor.
 * Used on the listener's event loop only.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    static final long PAUSE_MILLIS = 10;
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    private final Logger log;
    private final NodeMetrics metrics;
    private long loggedAt = System.nanoTime() - LOG_INTERVAL_NANOS;

    AcceptFailureHandler(Logger log, NodeMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        metrics.acceptFailures++;
        long now = System.nanoTime();
        if (now - loggedAt >= LOG_INTERVAL_NANOS) {
            loggedAt = now;
            log.warn("can't accept a connection: {}", cause.getMessage());
        }
        Channel listener = context.channel();
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> resume(listener), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void resume(Channel listener) {
        if (listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }
}
