package thistlefall.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MessageHead;

/**
 * Acquires a connection on which the server has just shown that it reads, by its response to a probe. An established
 * connection shows nothing of the kind: the system completes it, and takes bytes on it, before the server accepts it.
 * It takes no longer than a connect may; after the response the connection rests for the minimum idle time, like any
 * other. Used on one event loop only.
 */
public final class ConnectionConfirmation implements ServerConnectionPool.AcquireCallback, ResponseHandler {
    private final EventLoop loop;
    private final ServerConnectionPool pool;
    private final String probePath;
    private final ResponseHandler handler;
    private final boolean headRequest;
    private final ServerConnectionPool.AcquireCallback callback;
    private ServerConnection connection;
    private Future<?> timeout;
    private Future<?> rest;
    private boolean ended;

    ConnectionConfirmation(
            EventLoop loop,
            ServerConnectionPool pool,
            String probePath,
            ResponseHandler handler,
            boolean headRequest,
            ServerConnectionPool.AcquireCallback callback) {
        this.loop = loop;
        this.pool = pool;
        this.probePath = probePath;
        this.handler = handler;
        this.headRequest = headRequest;
        this.callback = callback;
    }

    void start() {
        timeout = loop.schedule(this::timeOut, pool.limits().connectTimeout(), TimeUnit.NANOSECONDS);
        pool.acquire(this, false, this);
    }

    /** Ends the confirmation without a result; has no effect once it has one. */
    public void cancel() {
        if (!end()) {
            return;
        }
        if (rest != null) {
            rest.cancel(false);
            connection.release();
        } else if (connection != null) {
            connection.abandon();
        }
    }

    private void timeOut() {
        if (!ended && rest == null) {
            cancel();
            callback.unavailable(EndReason.UNCONFIRMED);
        }
    }

    /** Ends the confirmation; returns false if it has ended before. */
    private boolean end() {
        boolean endsNow = !ended;
        ended = true;
        timeout.cancel(false);
        return endsNow;
    }

    @Override
    public void acquired(ServerConnection acquiredConnection) {
        if (ended) {
            acquiredConnection.release();
            return;
        }
        connection = acquiredConnection;
        ByteBuf out = HttpWriter.beginRequest(connection.channel().alloc(), "GET", probePath);
        HttpWriter.writeField(out, "Host", Transports.hostHeader(pool.address()));
        HttpWriter.writeFraming(out, Framing.NONE, false);
        connection.channel().writeAndFlush(HttpWriter.endHead(out));
        acquiredConnection.requestWritten();
    }

    @Override
    public void unavailable(EndReason reason) {
        fail(reason);
    }

    @Override
    public void headReceived(MessageHead.ResponseHead head) {
        // Whatever the response says, the server has read the probe.
    }

    @Override
    public void bodyReceived(ByteBuf piece) {
        piece.release();
    }

    @Override
    public void responseComplete(HttpFields trailers) {
        if (ended) {
            return;
        }
        if (pool.takeIdle(connection)) {
            rest = loop.schedule(this::deliver, pool.limits().minIdleTime(), TimeUnit.NANOSECONDS);
        } else {
            fail(EndReason.UNCONFIRMED);
        }
    }

    private void deliver() {
        if (ended) {
            return;
        }
        if (pool.beginReservedExchange(connection, handler, headRequest)) {
            end();
            callback.acquired(connection);
        } else {
            fail(EndReason.UNCONFIRMED);
        }
    }

    @Override
    public void exchangeFailed(EndReason endReason) {
        fail(EndReason.UNCONFIRMED);
    }

    @Override
    public void writabilityChanged(boolean writable) {
        // A probe is small.
    }

    private void fail(EndReason reason) {
        if (end()) {
            callback.unavailable(reason);
        }
    }
}
