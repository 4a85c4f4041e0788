package thistlefall.edge.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import thistlefall.edge.loop.LogInterval;

/**
 * Pauses and resumes accepting on the listener of a node. While the node may hold no further connection, new ones wait
 * in the backlog. After a failure to accept one the next try follows soon, because the system has completed the
 * connection and its client's time runs; a pause keeps the event loop free while there is no descriptor. Used on the
 * listener's event loop only.
 */
final class ConnectionAcceptor extends ChannelInboundHandlerAdapter {
    static final long PAUSE_MILLIS = 10;

    private final Logger log;
    private final NodeMetrics metrics;
    private final ClientConnectionManager connectionManager;
    private final LogInterval logInterval = new LogInterval();
    private Channel listener;
    private boolean pausedAfterFailure;
    private boolean closing;

    ConnectionAcceptor(Logger log, NodeMetrics metrics, ClientConnectionManager connectionManager) {
        this.log = log;
        this.metrics = metrics;
        this.connectionManager = connectionManager;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        listener = context.channel();
        connectionManager.setAcceptCapacityListener(this::acceptCapacityChanged);
    }

    private void acceptCapacityChanged() {
        update();
        if (closing) {
            listener.eventLoop().execute(this::closeIfDrained);
        }
    }

    private void update() {
        boolean accepting = !pausedAfterFailure && connectionManager.acceptCapacity() > 0;
        if (listener.isOpen() && listener.config().isAutoRead() != accepting) {
            metrics.acceptPauses += accepting ? 0 : 1;
            listener.config().setAutoRead(accepting);
        }
    }

    /** Whether the listener is open. */
    boolean isListening() {
        return listener.isOpen();
    }

    /**
     * Accepts the connections that the system has completed, as soon as the node may hold them, then stops listening.
     */
    void closeWhenDrained() {
        closing = true;
        closeIfDrained();
    }

    private void closeIfDrained() {
        long opened;
        do {
            opened = connectionManager.openedCount();
            if (listener.isOpen() && connectionManager.acceptCapacity() > 0) {
                readNow();
            }
        } while (connectionManager.openedCount() > opened);
        if (connectionManager.acceptCapacity() > 0) {
            listener.close();
        }
    }

    private void readNow() {
        if (listener instanceof ClientSocketChannel.Listener socketListener) {
            socketListener.acceptNow();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        metrics.acceptFailures++;
        if (logInterval.tryLog()) {
            log.warn("can't accept a connection: {}", cause.getMessage());
        }
        pausedAfterFailure = true;
        update();
        listener.eventLoop().schedule(this::resume, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        pausedAfterFailure = false;
        update();
    }
}
