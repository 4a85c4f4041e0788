package thistlefall.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MessageHead;

/**
 * A small request to a service that the node itself uses. The response body is buffered whole, up to a limit, and the
 * callback is called exactly once.
 */
public final class ServiceCall implements ResponseHandler, ServerConnectionPool.AcquireCallback {
    /**
     * The result of a call.
     *
     * @param end {@link EndReason#ANSWER}, or why there is no response
     * @param status the status code; 0 if no response head was received
     * @param fields the response's header fields; empty if the response is not complete
     * @param body the response body; empty if the response is not complete
     */
    public record ServiceResponse(EndReason endReason, int status, HttpFields fields, byte[] body) {}

    /** Receives the result of a call, on the event loop. */
    public interface ServiceCallback {
        /** The call has ended. */
        void callEnded(ServiceResponse response);
    }

    private final EventLoop loop;
    private final String method;
    private final String target;
    private final Map<String, String> fields;
    private final byte[] body;
    private final int maxBodyBytes;
    private final ServiceCallback callback;
    private Future<?> timeoutTask;
    private ServerConnection connection;
    private MessageHead.ResponseHead responseHead;
    private final java.io.ByteArrayOutputStream responseBody = new java.io.ByteArrayOutputStream();
    private boolean ended;
    private boolean retried;
    private ServerConnectionPool pool;
    private boolean noRetry;

    private ServiceCall(
            EventLoop loop,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            int maxBodyBytes,
            ServiceCallback callback) {
        this.loop = loop;
        this.method = method;
        this.target = target;
        this.fields = fields;
        this.body = body;
        this.maxBodyBytes = maxBodyBytes;
        this.callback = callback;
    }

    /** Sends a request and never repeats it. The fields must contain Host; the timeout is in nanoseconds. */
    public static void sendOnce(
            EventLoop loop,
            ServerConnectionPool pool,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            int maxBodyBytes,
            long timeout,
            ServiceCallback callback) {
        start(new ServiceCall(loop, method, target, fields, body, maxBodyBytes, callback), pool, timeout, true);
    }

    /**
     * Sends a request, once more if a kept connection turns out to be closed. The fields must contain Host; the timeout
     * is in nanoseconds.
     */
    public static void send(
            EventLoop loop,
            ServerConnectionPool pool,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            int maxBodyBytes,
            long timeout,
            ServiceCallback callback) {
        start(new ServiceCall(loop, method, target, fields, body, maxBodyBytes, callback), pool, timeout, false);
    }

    private static void start(ServiceCall call, ServerConnectionPool pool, long timeout, boolean noRetry) {
        call.pool = pool;
        call.timeoutTask = call.loop.schedule(() -> call.endCall(EndReason.OVERDUE), timeout, TimeUnit.NANOSECONDS);
        call.noRetry = noRetry || pool.connectionCount() == 0;
        pool.acquire(call, false, call);
    }

    @Override
    public void acquired(ServerConnection acquiredConnection) {
        if (ended) {
            acquiredConnection.release();
            return;
        }
        connection = acquiredConnection;
        ByteBuf buffer = HttpWriter.beginRequest(acquiredConnection.channel().alloc(), method, target);
        fields.forEach((name, value) -> HttpWriter.writeField(buffer, name, value));
        HttpWriter.writeFraming(
                buffer,
                body.length == 0 ? Framing.NONE : new Framing(Framing.FramingKind.LENGTH, body.length),
                method.equals("POST"));
        HttpWriter.endHead(buffer).writeBytes(body);
        acquiredConnection.channel().writeAndFlush(buffer);
        acquiredConnection.requestWritten();
    }

    @Override
    public void unavailable(EndReason reason) {
        endCall(reason);
    }

    @Override
    public void headReceived(MessageHead.ResponseHead head) {
        responseHead = head;
    }

    @Override
    public void bodyReceived(ByteBuf piece) {
        try {
            byte[] bytes = ByteBufUtil.getBytes(piece);
            if (responseBody.size() + bytes.length > maxBodyBytes) {
                endCall(EndReason.GARBLED);
            } else {
                responseBody.writeBytes(bytes);
            }
        } finally {
            piece.release();
        }
    }

    @Override
    public void responseComplete(HttpFields trailers) {
        connection = null;
        endCall(EndReason.ANSWER);
    }

    @Override
    public void exchangeFailed(EndReason reason) {
        connection = null;
        if (reason == EndReason.CLOSED && responseHead == null && !retried && !noRetry) {
            // The service had closed the kept connection. These requests are safe to repeat.
            retried = true;
            pool.acquire(this, false, this);
            return;
        }
        endCall(reason);
    }

    @Override
    public void writabilityChanged(boolean writable) {
        // Requests are small, so no flow control is needed.
    }

    private void endCall(EndReason reason) {
        if (ended) {
            return;
        }
        ended = true;
        timeoutTask.cancel(false);
        if (connection != null) {
            connection.abandon();
        }
        callback.callEnded(
                reason == EndReason.ANSWER
                        ? new ServiceResponse(
                                reason, responseHead.status(), responseHead.fields(), responseBody.toByteArray())
                        : new ServiceResponse(
                                reason,
                                responseHead == null ? 0 : responseHead.status(),
                                HttpFields.EMPTY,
                                new byte[0]));
    }

    /** The body of a response as UTF-8 text. */
    public static String bodyAsText(ServiceResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }
}
