package thistlefall.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.BodyEnd;
import thistlefall.edge.http.MalformedMessageException;
import thistlefall.edge.http.MessageHead;
import thistlefall.edge.http.ResponseDecoder;

/**
 * One connection to a server. It carries one exchange after another, and is closed wherever bytes of one exchange could
 * be taken for those of another. Used on its event loop only.
 */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
    private final ServerConnectionPool pool;
    private final Channel channel;
    private final ResponseDecoder decoder;
    private ResponseHandler handler;
    private boolean requestComplete;
    private boolean responseComplete;
    private boolean keepAlive;
    private boolean extraBytesReceived;
    private boolean readInProgress;
    private boolean serverHasSent;
    private BodyEnd responseEnd;
    long idleSinceNanos;

    ServerConnection(ServerConnectionPool pool, Channel channel, ResponseDecoder decoder) {
        this.pool = pool;
        this.channel = channel;
        this.decoder = decoder;
    }

    /**
     * Whether the connection is open, has no exchange, and nothing has arrived on it since its last response. This asks
     * the socket: the event loop may have been stalled since that response, and would not have read it. A connection
     * that is not usable must be closed.
     */
    boolean isUsable() {
        return channel.isActive() && handler == null && !UpstreamSocketChannel.consumesUnreadInput(channel);
    }

    /** The channel to write the request to. */
    public Channel channel() {
        return channel;
    }

    /**
     * Whether the server has ever sent something on this connection. Until then it may not have accepted it: the system
     * completes connections, and takes their first bytes, before the server does.
     */
    public boolean hasServerSent() {
        return serverHasSent;
    }

    /** Begins an exchange; the caller writes the request next. */
    void beginExchange(ResponseHandler newHandler, boolean headRequest) {
        handler = newHandler;
        requestComplete = false;
        responseComplete = false;
        extraBytesReceived = false;
        keepAlive = true;
        responseEnd = null;
        decoder.expectResponse(headRequest);
        channel.config().setAutoRead(true);
    }

    /** Called when the whole request has been written. */
    public void requestWritten() {
        requestComplete = true;
        if (responseComplete && !readInProgress) {
            completeExchange();
        }
    }

    /** Pauses or resumes reading of the response. */
    public void setAutoRead(boolean autoRead) {
        channel.config().setAutoRead(autoRead);
    }

    /** Returns the connection to its pool with nothing written to it. */
    public void release() {
        handler = null;
        pool.release(this);
    }

    /**
     * Abandons the exchange and resets the connection, so that a request that the server has not taken does not reach
     * it later. The handler is not called any more.
     */
    public void abandon() {
        handler = null;
        Transports.reset(channel);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        readInProgress = true;
        serverHasSent = true;
        if (handler == null) {
            // Bytes that belong to no request: they would be read as the start of the next response.
            ReferenceCountUtil.release(message);
            channel.close();
            return;
        }
        if (responseComplete) {
            // Bytes after the end of the response: the response is valid, but the connection must not be reused.
            ReferenceCountUtil.release(message);
            extraBytesReceived = true;
            return;
        }
        if (message instanceof ByteBuf piece) {
            handler.bodyReceived(piece);
        } else if (message instanceof MessageHead.ResponseHead head) {
            if (head.status() >= 200) {
                keepAlive =
                        head.keepAlive() && head.framing().kind() != thistlefall.edge.http.Framing.FramingKind.CLOSE;
                handler.headReceived(head);
            }
        } else if (message instanceof BodyEnd bodyEnd) {
            responseComplete = true;
            responseEnd = bodyEnd;
            if (!requestComplete) {
                // The server responded before it had the whole request. The rest of the request must not precede
                // the next request on this connection.
                keepAlive = false;
            }
        } else if (message instanceof MalformedMessageException) {
            failExchange(EndReason.GARBLED);
        }
    }

    /** All received bytes have been decoded: only now is it known whether any follow the response. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readInProgress = false;
        if (handler == null && !decoder.isIdle()) {
            // The first bytes of a message that no request asked for: the rest would be taken for the next response.
            channel.close();
        } else if (handler != null && responseComplete) {
            completeExchange();
        }
    }

    private void completeExchange() {
        ResponseHandler completedHandler = handler;
        BodyEnd end = responseEnd;
        handler = null;
        if (keepAlive && requestComplete && !extraBytesReceived && decoder.isIdle() && channel.isActive()) {
            pool.release(this);
        } else {
            channel.close();
        }
        if (completedHandler != null) {
            completedHandler.responseComplete(end.trailers());
        }
    }

    private void failExchange(EndReason reason) {
        ResponseHandler failedHandler = handler;
        handler = null;
        Transports.reset(channel);
        if (failedHandler != null) {
            failedHandler.exchangeFailed(reason);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (handler != null) {
            handler.writabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.connectionClosed(this);
        if (handler != null && responseComplete) {
            completeExchange();
        } else {
            failExchange(EndReason.CLOSED);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelErrors.report(channel, cause);
        failExchange(EndReason.CLOSED);
    }
}
