package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.List;
import thistlefall.Ports.ConnectionProof;
import thistlefall.Ports.Outcome;
import thistlefall.attempt.AttemptProgress;
import thistlefall.attempt.EndReason;
import thistlefall.attempt.OutcomeClassifier;
import thistlefall.attempt.ResponseClassification;
import thistlefall.attempt.SendPermission;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MessageHead;
import thistlefall.edge.upstream.ConnectionConfirmation;
import thistlefall.edge.upstream.ResponseHandler;
import thistlefall.edge.upstream.ServerConnection;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.timer.TimingWheel;

/**
 * One attempt at a server. Tracks its progress, forwards a successful response to the client as it arrives, discards
 * any other response so that the module can decide what to do next, and reports its outcome exactly once. Confined to
 * the node's event loop; durations are in nanoseconds.
 */
final class Attempt implements ResponseHandler, ServerConnectionPool.AcquireCallback, RequestBody.BodySink {
    /** The outcome of an attempt, with its duration in nanoseconds. */
    record AttemptResult(Outcome outcome, long duration, double trueUnits, List<Double> loadReport) {}

    /**
     * When and how an attempt may be sent; durations from its start.
     *
     * @param sendTime how long it may wait for its first byte
     * @param startTime within which time the server must have begun the request
     * @param proof what the server must have shown on the connection
     */
    record SendLimits(long sendTime, long startTime, ConnectionProof proof) {}

    private static final long RESPONSE_FORWARD_TIMEOUT_NANOS = 30_000_000_000L;

    private final ActionExecutor executor;
    private final RequestContext requestContext;
    private final String serverId;
    private final int number;
    private final long startedAt = System.nanoTime();
    private ServerConnectionPool pool;
    private SendLimits sendLimits;
    private SendPermission sendPermission;
    /** Acquires a connection on which the server reads; null if the attempt needs none or has it. */
    private ConnectionConfirmation confirmation;
    /** When the request was handed to the socket as a whole; 0 before that. */
    private long writtenAt;

    private AttemptProgress progress = AttemptProgress.WAITING;
    private ServerConnection connection;
    private MessageHead.ResponseHead head;
    private GrowingBuffer responseBuffer = new GrowingBuffer(0);
    private boolean buffering;
    /** The bytes of the request that the server's socket has not accepted yet, if it is written as a whole. */
    private int unsentBytes;

    /** How long the request had waited for its client's input when this attempt began. */
    private final long inputWaitBefore;

    private boolean clientGone;
    private boolean forwarding;
    private boolean readPaused;
    private boolean ended;
    private boolean outcomeReported;
    private TimingWheel.ScheduledTimeout<Runnable> deadlineTimeout;
    /** Ends the attempt if its client does not stop sending; null unless it waits for that. */
    private TimingWheel.ScheduledTimeout<Runnable> inputWaitTimeout;

    /** Ends the attempt if it has not been sent in time; null once it has been. */
    private TimingWheel.ScheduledTimeout<Runnable> sendTimeout;

    Attempt(ActionExecutor executor, RequestContext requestContext, String serverId, int number) {
        this.executor = executor;
        this.requestContext = requestContext;
        this.serverId = serverId;
        this.number = number;
        inputWaitBefore = requestContext.inputWait.total();
    }

    String serverId() {
        return serverId;
    }

    int number() {
        return number;
    }

    /** Returns the memory that the attempt takes, in bytes. */
    long heldBytes() {
        return unsentBytes + responseBuffer.capacity();
    }

    /** Returns how long the attempt took until its request was handed to the socket as a whole. */
    long timeToSend() {
        return (writtenAt == 0 ? System.nanoTime() : writtenAt) - startedAt;
    }

    AttemptProgress progress() {
        return progress;
    }

    /** Returns when the attempt was decided on, by the monotonic clock. */
    long startedAt() {
        return startedAt;
    }

    /** Begins the attempt, which ends after {@code timeout}. */
    void start(ServerConnectionPool serverPool, long timeout, SendLimits limits) {
        pool = serverPool;
        sendLimits = limits;
        deadlineTimeout = executor.eventLoopTimer().schedule(timeout, this::endOverdue);
        sendPermission = new SendPermission(startedAt + Math.min(timeout, limits.sendTime()));
        if (limits.sendTime() < timeout) {
            sendTimeout = executor.eventLoopTimer().schedule(limits.sendTime(), this::endUnlessSent);
        }
        if (number == 0) {
            requestContext.clientConnection.sendContinue(requestContext);
        }
        acquireConnection();
    }

    @Override
    public void acquired(ServerConnection acquiredConnection) {
        if (ended || !maySendNow()) {
            // The attempt ended while it waited, or ends now. The connection goes back to the pool.
            acquiredConnection.release();
            end(EndReason.NOT_STARTED);
            return;
        }
        switch (requestContext.clientConnection.presence()) {
            case PRESENT -> send(acquiredConnection);
            case LEFT -> {
                acquiredConnection.release();
                executor.countDepartureFoundAtSend();
                requestContext.clientConnection.clientLeft();
                end(EndReason.WITHDRAWN);
            }
            case UNKNOWN -> {
                acquiredConnection.release();
                awaitClientInput();
            }
        }
    }

    /** Waits until the input of the client has been read, so that a close behind it is known. */
    private void awaitClientInput() {
        long maxWait = requestContext.inputWait.begin(System.nanoTime());
        if (maxWait == 0) {
            end(EndReason.NOT_STARTED);
        } else {
            inputWaitTimeout = executor.eventLoopTimer().schedule(maxWait, () -> end(EndReason.NOT_STARTED));
        }
    }

    /** Continues an attempt that waits until the input of its client has been read. */
    void clientInputRead() {
        if (inputWaitTimeout == null || requestContext.clientConnection.presence() == ClientPresence.State.UNKNOWN) {
            return;
        }
        endInputWait();
        acquireConnection();
    }

    private void endInputWait() {
        executor.eventLoopTimer().cancel(inputWaitTimeout);
        inputWaitTimeout = null;
        requestContext.inputWait.end(System.nanoTime());
    }

    private void acquireConnection() {
        boolean headRequest = requestContext.head.method().equals("HEAD");
        confirmation = executor.acquireConnection(pool, this, headRequest, sendLimits.proof());
    }

    private void send(ServerConnection acquiredConnection) {
        connection = acquiredConnection;
        executor.attemptLog().sentAgain(requestContext, this, sendPermission);
        progress = AttemptProgress.CONNECTED;
        MessageHead.RequestHead request = requestContext.head;
        Channel channel = acquiredConnection.channel();
        ByteBuf out = HttpWriter.beginRequest(channel.alloc(), request.method(), request.target());
        long now = System.nanoTime();
        long remainingTime = Math.min(deadlineTimeout.deadline() - now, sendLimits.startTime() - (now - startedAt));
        executor.dialect()
                .writeRequestFields(
                        out, request, number, requestContext.customerName, executor.nodeName(), remainingTime);
        if (executor.dialect().buffersRequests()) {
            writeBufferedRequest(channel, out);
        } else {
            streamRequest(channel, out);
        }
    }

    /** Whether what the decision for the attempt relied on still holds; asked directly before its first byte. */
    private boolean maySendNow() {
        boolean inTime = sendPermission.holdsAt(System.nanoTime());
        if (!inTime) {
            executor.countLateSend();
        }
        return inTime && !executor.isTokenInactive(requestContext, number);
    }

    /** Writes the request head and forwards the body as it arrives. */
    private void streamRequest(Channel channel, ByteBuf out) {
        MessageHead.RequestHead request = requestContext.head;
        HttpWriter.writeFraming(
                out,
                request.framing(),
                !request.method().equals("GET") && !request.method().equals("HEAD"));
        HttpWriter.endHead(out);
        // Once the first byte is written, it can no longer be proven that the server did not execute the request.
        requestSent();
        channel.write(out, channel.voidPromise());
        requestContext.body.attach(this);
        channel.flush();
        requestContext.clientConnection.updateAutoRead();
    }

    /** Writes the request as a whole: the server cannot start it before the socket has accepted its last byte. */
    private void writeBufferedRequest(Channel channel, ByteBuf out) {
        RequestBody body = requestContext.body;
        boolean noBody = requestContext.head.method().equals("GET") && body.bufferedBytes() == 0;
        HttpWriter.writeFraming(
                out, noBody ? Framing.NONE : new Framing(Framing.FramingKind.LENGTH, body.bufferedBytes()), !noBody);
        HttpWriter.endHead(out);
        body.copyTo(out);
        ServerConnection requestConnection = connection;
        unsentBytes = out.readableBytes();
        channel.writeAndFlush(out).addListener(writeFuture -> {
            unsentBytes = 0;
            requestContext.clientConnection.memory().update();
            if (connection == requestConnection && writeFuture.isSuccess()) {
                if (progress == AttemptProgress.CONNECTED) {
                    requestSent();
                }
                requestConnection.requestWritten();
            }
        });
    }

    /** From now on the request may have run, so it is too late to take the attempt back. */
    private void requestSent() {
        progress = AttemptProgress.WRITTEN;
        writtenAt = System.nanoTime();
        cancelSendTimeout();
    }

    private void cancelSendTimeout() {
        executor.eventLoopTimer().cancel(sendTimeout);
        sendTimeout = null;
    }

    private void endUnlessSent() {
        if (progress.compareTo(AttemptProgress.WRITTEN) < 0) {
            executor.countLateSend();
            endOverdue();
        }
    }

    /** Ends the attempt because its time is over; its server is not to blame if its client has held it up. */
    private void endOverdue() {
        boolean written = progress.compareTo(AttemptProgress.WRITTEN) >= 0;
        boolean heldUp = inputWaitTimeout != null || inputWait() > 0;
        end(heldUp && !written ? EndReason.NOT_STARTED : EndReason.OVERDUE);
    }

    /** Returns how long this attempt has waited for the input of its client, which is not its server's time. */
    private long inputWait() {
        return requestContext.inputWait.total() - inputWaitBefore;
    }

    /** Takes the attempt back if no byte of it has been sent. */
    void withdraw() {
        if (!ended && progress == AttemptProgress.WAITING) {
            executor.countWithdrawnSend();
            end(EndReason.WITHDRAWN);
        }
    }

    @Override
    public void unavailable(EndReason endReason) {
        end(endReason);
    }

    @Override
    public void writePiece(ByteBuf piece) {
        if (connection == null) {
            // The preceding write broke the connection.
            piece.release();
            return;
        }
        HttpWriter.writeBodyPiece(
                connection.channel(), piece, requestContext.head.framing().kind() == Framing.FramingKind.CHUNKED);
    }

    @Override
    public void endBody(HttpFields trailers) {
        // A write may break the connection, which ends this attempt and clears the field.
        ServerConnection requestConnection = connection;
        if (requestConnection == null) {
            return;
        }
        Channel channel = requestConnection.channel();
        if (requestContext.head.framing().kind() == Framing.FramingKind.CHUNKED) {
            channel.write(HttpWriter.createLastChunk(channel.alloc(), trailers));
        }
        channel.flush();
        requestConnection.requestWritten();
    }

    @Override
    public boolean isWritable() {
        return connection != null && connection.channel().isWritable();
    }

    @Override
    public void writabilityChanged(boolean writable) {
        requestContext.clientConnection.updateAutoRead();
    }

    @Override
    public void headReceived(MessageHead.ResponseHead responseHead) {
        head = responseHead;
        progress = AttemptProgress.ANSWERED;
        if (classifyResponse() != ResponseClassification.SERVED) {
            return;
        }
        Framing framing = responseHead.framing();
        buffering = !clientGone
                && switch (framing.kind()) {
                    case NONE -> true;
                    case LENGTH -> canBuffer(framing.length());
                        // The end of the connection marks the end of the response, so its completeness is unknown
                        // until then.
                    case CHUNKED, CLOSE -> executor.dialect().buffersRequests();
                };
        if (!buffering) {
            startForwarding();
        } else if (framing.kind() == Framing.FramingKind.LENGTH) {
            responseBuffer = new GrowingBuffer((int) framing.length());
        }
    }

    /** Whether a response of this size may be buffered. */
    private boolean canBuffer(long responseBytes) {
        return responseBytes <= executor.dialect().maxBufferedResponse()
                && requestContext
                        .clientConnection
                        .memory()
                        .account()
                        .tryGrow(responseBytes - responseBuffer.capacity());
    }

    private void startForwarding() {
        if (executor.tryCompleteAsServed(requestContext)) {
            forwarding = true;
            executor.eventLoopTimer().cancel(deadlineTimeout);
            // A response that has begun is not subject to a deadline of the module, but it must not stall forever.
            long maxDuration = executor.dialect().buffersRequests()
                    ? executor.remainingTime(requestContext)
                    : RESPONSE_FORWARD_TIMEOUT_NANOS;
            deadlineTimeout = executor.eventLoopTimer().schedule(maxDuration, () -> end(EndReason.CLOSED));
            requestContext.clientConnection.startResponse(requestContext, head);
        }
    }

    @Override
    public void bodyReceived(ByteBuf piece) {
        if (buffering && !canBuffer(responseBuffer.size() + piece.readableBytes())) {
            // The response exceeds the buffer limits; forward it as it arrives from now on.
            buffering = false;
            startForwarding();
            forwardBuffered();
        }
        if (buffering) {
            responseBuffer.append(piece);
            piece.release();
            requestContext.clientConnection.memory().update();
        } else if (!forwarding) {
            piece.release();
        } else if (!requestContext.clientConnection.writePiece(piece) && !readPaused) {
            readPaused = true;
            connection.setAutoRead(false);
            // The client is slow, not the server. Report now, so that the module sees the time the server took.
            reportOutcome(Outcome.OK, EndReason.ANSWER);
        }
    }

    /** Resumes reading from the server once the client's connection is writable again. */
    void clientWritable() {
        if (readPaused && connection != null) {
            readPaused = false;
            connection.setAutoRead(true);
        }
    }

    @Override
    public void responseComplete(HttpFields trailers) {
        connection = null;
        progress = AttemptProgress.COMPLETE;
        if (buffering) {
            startForwarding();
        }
        if (forwarding) {
            forwardBuffered();
            requestContext.clientConnection.endResponse(requestContext, trailers);
        }
        end(EndReason.ANSWER);
    }

    private void forwardBuffered() {
        ByteBuf bufferedBytes = responseBuffer.take();
        if (bufferedBytes == null) {
            return;
        }
        if (forwarding) {
            requestContext.clientConnection.writePiece(bufferedBytes);
        } else {
            bufferedBytes.release();
        }
    }

    @Override
    public void exchangeFailed(EndReason endReason) {
        connection = null;
        end(endReason);
    }

    /**
     * Handles the client's disconnect: ends the attempt, unless the server has the whole request and still runs it.
     */
    void clientGone() {
        clientGone = true;
        if (forwarding || !mayHaveReachedServer()) {
            end(EndReason.WITHDRAWN);
        } else {
            // Nobody will read the response; only its end matters.
            buffering = false;
            responseBuffer.release();
        }
    }

    /** Whether the server is likely to have the whole request: it has shown that it reads from this connection. */
    private boolean mayHaveReachedServer() {
        return progress.compareTo(AttemptProgress.WRITTEN) >= 0
                && requestContext.body.isComplete()
                && (connection == null || connection.hasServerSent());
    }

    private ResponseClassification classifyResponse() {
        return head == null
                ? ResponseClassification.NOTHING
                : executor.dialect().classify(head);
    }

    /** Ends the attempt; calls after the first have no effect. */
    void end(EndReason endReason) {
        if (ended) {
            return;
        }
        ended = true;
        responseBuffer.release();
        executor.eventLoopTimer().cancel(deadlineTimeout);
        cancelSendTimeout();
        endInputWait();
        if (confirmation != null) {
            confirmation.cancel();
        }
        requestContext.body.detach();
        boolean abandoned = connection != null;
        if (abandoned) {
            connection.abandon();
            connection = null;
        }
        if (forwarding && progress != AttemptProgress.COMPLETE) {
            requestContext.clientConnection.abortResponse(requestContext);
        }
        Outcome outcome = OutcomeClassifier.classify(progress, endReason, classifyResponse());
        if (abandoned) {
            // Until the system has reset the connection, the server may still get the request.
            executor.runAfterNextPoll(() -> reportOutcome(outcome, endReason));
        } else {
            reportOutcome(outcome, endReason);
        }
    }

    private void reportOutcome(Outcome outcome, EndReason endReason) {
        if (outcomeReported) {
            return;
        }
        outcomeReported = true;
        executor.attemptLog().ended(requestContext, this, outcome, endReason, progress);
        List<Double> loadReport = head == null ? List.of() : executor.loadReport(head.fields());
        double trueUnits = head == null ? 0 : executor.dialect().trueUnits(head.fields());
        long duration = System.nanoTime() - startedAt - inputWait();
        executor.attemptEnded(requestContext, this, new AttemptResult(outcome, duration, trueUnits, loadReport));
    }
}
