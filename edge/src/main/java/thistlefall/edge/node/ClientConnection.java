package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import thistlefall.edge.http.BodyEnd;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.MalformedMessageException;
import thistlefall.edge.http.MessageHead;
import thistlefall.edge.http.RequestDecoder;
import thistlefall.edge.settings.NodeSettings.LimitSettings;
import thistlefall.edge.upstream.ChannelErrors;
import thistlefall.edge.upstream.Transports;
import thistlefall.lifecycle.ConnectionLifecycle;
import thistlefall.request.FailureCause;
import thistlefall.timer.TimingWheel;

/**
 * The connection of one client: reads requests, passes them on one after another and writes their responses in the same
 * order. Beyond the limits of a {@link RequestPipeline}, either reading pauses or surplus requests are refused, as the
 * dialect says. {@link #writePiece} tells the sender of a response when the client reads slowly. Connections never wait
 * for each other. Confined to the node's event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientInput.Listener {
    private static final ByteBuf CONTINUE_RESPONSE = Unpooled.unreleasableBuffer(Unpooled.directBuffer(25)
                    .writeBytes("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII)))
            .asReadOnly();

    /** A request that is refused once it is complete. */
    private record SurplusRequest(MessageHead.RequestHead head, FailureCause cause) {}

    private final ClientConnectionManager connectionManager;
    private final ClientRequests clientRequests;
    private final Consumer<String> log;
    private final EventLoopTimer timer;
    private final LimitSettings limits;
    private final Dialect dialect;
    private final RequestDecoder decoder;
    private final RequestPipeline pendingRequests;
    private final ResponseEncoder responseEncoder;
    private ClientPresence presence;
    private ConnectionMemory memory;
    private final ClientInput input;
    private final NodeMetrics metrics;
    private Channel channel;
    private RequestContext receivingRequest;
    /** The surplus request whose body is being received and discarded; null otherwise. */
    private SurplusRequest receivingSurplus;

    private MalformedMessageException inputError;
    private final ConnectionLifecycle lifecycle = new ConnectionLifecycle();
    private boolean dispatching;
    private boolean receiveTimerActive;
    private long openedAt;
    private boolean anyRequestCompleted;
    /** Whether it owes no response; the manager and the idle timer know. */
    private boolean idle;
    /** Whether the connection is to end after its next response and stays open at rest until then. */
    private boolean awaitsNextRequest;

    /** What ended the connection; null while it is open. */
    private ConnectionEnd end;

    /** Whether the connection is one too many, so that its request is refused and it ends after that. */
    private boolean refusesRequests;

    private TimingWheel.ScheduledTimeout<Runnable> receiveTimer;
    private TimingWheel.ScheduledTimeout<Runnable> idleTimer;
    private TimingWheel.ScheduledTimeout<Runnable> stallTimer;

    ClientConnection(
            ClientConnectionManager connectionManager,
            ClientRequests clientRequests,
            WaitingInput waitingInput,
            NodeMetrics metrics,
            Consumer<String> log,
            EventLoopTimer timer,
            LimitSettings limits,
            Dialect dialect,
            RequestDecoder decoder) {
        this.connectionManager = connectionManager;
        this.clientRequests = clientRequests;
        this.log = log;
        this.timer = timer;
        this.limits = limits;
        this.dialect = dialect;
        this.decoder = decoder;
        this.metrics = metrics;
        input = new ClientInput(waitingInput, decoder, timer, metrics, this);
        responseEncoder = new ResponseEncoder(dialect);
        pendingRequests = new RequestPipeline(limits.maxPipelined(), limits.replayBody());
    }

    /** Returns the handler that stands before the decoder of this connection. */
    ClientInput input() {
        return input;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        presence = new ClientPresence(channel);
        memory = new ConnectionMemory(connectionManager.clientMemory(), channel, pendingRequests);
        openedAt = System.nanoTime();
        updateIdle();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!lifecycle.acceptsRequests() || inputError != null) {
            ReferenceCountUtil.release(message);
            decoder.discardInput();
        } else if (message instanceof MessageHead.RequestHead head) {
            headReceived(head);
        } else if (message instanceof ByteBuf piece) {
            bodyReceived(piece);
        } else if (message instanceof BodyEnd bodyEnd) {
            requestReceived(bodyEnd);
        } else if (message instanceof MalformedMessageException malformedMessage) {
            inputFailed(malformedMessage);
        }
        memory.update();
        updateAutoRead();
    }

    private void headReceived(MessageHead.RequestHead head) {
        if (!dialect.buffersRequests()) {
            timer.cancel(receiveTimer);
        }
        endIdle();
        if (refusesSurplus() && pendingRequests.isFull()) {
            receivingSurplus = new SurplusRequest(head, FailureCause.PIPELINED);
            return;
        }
        if (refusesSurplus() && !memory.account().tryGrow(RequestContext.heldBytesWithoutBody(head))) {
            receivingSurplus = new SurplusRequest(head, FailureCause.MEMORY);
            return;
        }
        receivingRequest = new RequestContext(this, head, input.arrivedAt(), limits.replayBody(), memory.account());
        pendingRequests.add(receivingRequest);
        dispatchPending();
    }

    private void bodyReceived(ByteBuf piece) {
        if (receivingRequest == null) {
            // The body of a surplus request.
            piece.release();
        } else if (!receivingRequest.body.add(piece)) {
            refuseForMemory();
        } else if (refusesSurplus() && pendingRequests.exceedsBufferLimit()) {
            makeSurplus(FailureCause.PIPELINED);
        }
    }

    /** Refuses the request whose body is being received: there is no memory for the rest of it. */
    private void refuseForMemory() {
        if (refusesSurplus() && pendingRequests.size() > 1) {
            makeSurplus(FailureCause.MEMORY);
            return;
        }
        // The request was never sent to a server, so the client may repeat it. The rest of it is not parsed.
        inputFailed(new MalformedMessageException(503, "too many long bodies at once"));
    }

    /** Makes a surplus request of the one whose body is being received. */
    private void makeSurplus(FailureCause cause) {
        receivingSurplus = new SurplusRequest(receivingRequest.head, cause);
        pendingRequests.removeIncomplete(receivingRequest);
        receivingRequest.body.release();
        receivingRequest = null;
    }

    private void requestReceived(BodyEnd bodyEnd) {
        if (receivingSurplus != null) {
            surplusReceived();
        } else if (receivingRequest != null) {
            RequestContext completedRequest = receivingRequest;
            receivingRequest = null;
            stopAfterLastRequest(completedRequest.head);
            completedRequest.body.complete(bodyEnd.trailers());
            if (dialect.buffersRequests()) {
                cancelReceiveTimer();
                completedRequest.arrivedAt = input.arrivedAt();
                dispatchPending();
            }
        }
    }

    /** If the client announced that this is its last request, anything after it is discarded. */
    private void stopAfterLastRequest(MessageHead.RequestHead head) {
        if (!head.keepAlive()) {
            lifecycle.noMoreRequests();
        }
    }

    /** Whether requests that exceed the pipeline's limits are refused. Otherwise reading pauses before them. */
    private boolean refusesSurplus() {
        return !dialect.allowsPipelining();
    }

    /** Refuses a complete surplus request, once the requests before it have their responses. */
    private void surplusReceived() {
        SurplusRequest surplusRequest = receivingSurplus;
        receivingSurplus = null;
        cancelReceiveTimer();
        stopAfterLastRequest(surplusRequest.head);
        clientRequests.countSurplusRequest(surplusRequest.cause);
        if (pendingRequests.surplusCount() < SurplusRefusals.MAX_PENDING) {
            pendingRequests.addSurplus();
            writeDueRefusals();
        } else {
            inputFailed(new MalformedMessageException(503, "too many requests at once on one connection"));
        }
    }

    /** Refuses surplus requests whose responses are next, unless the client has not read earlier responses. */
    private void writeDueRefusals() {
        if (pendingRequests.dueRefusals() == 0 || !channel.isActive() || !channel.isWritable()) {
            return;
        }
        int count = pendingRequests.removeDueRefusals();
        int laterResponses = owedResponses();
        boolean lastRequest = laterResponses == 0 && !lifecycle.acceptsRequests();
        boolean announcesClose = lifecycle.announcesClose(lastRequest, laterResponses);
        channel.writeAndFlush(SurplusRefusals.encode(channel.alloc(), count, announcesClose));
        startWriteStallTimer();
        responseBytesWritten();
        if (!shutOutputIfFinished()) {
            updateIdle();
        }
    }

    private void cancelReceiveTimer() {
        timer.cancel(receiveTimer);
        receiveTimerActive = false;
        connectionManager.setIncomplete(this, false);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        updateUndecodedBytes();
        updateReceiveTimer();
        // What was read may have been nothing but an empty line, so that nothing is owed after all.
        if (awaitsNextRequest || !shutOutputIfFinished()) {
            updateIdle();
        }
        continueAfterRead();
    }

    /** A request that is received in part has to be complete in time. */
    private void updateReceiveTimer() {
        boolean partiallyReceived = isPartiallyReceived();
        if (partiallyReceived && !receiveTimerActive) {
            receiveTimerActive = true;
            connectionManager.setIncomplete(this, true);
            receiveTimer = timer.schedule(receiveTimeoutNanos(), this::receiveTimedOut);
        } else if (!partiallyReceived && receiveTimerActive) {
            cancelReceiveTimer();
        }
    }

    private void receiveTimedOut() {
        receiveTimerActive = false;
        connectionManager.setIncomplete(this, false);
        if (isPartiallyReceived()) {
            inputFailed(new MalformedMessageException(408, "the request took too long to come"));
        }
    }

    /** Goes on with the request that waits until the client's input has been read. */
    private void continueAfterRead() {
        dispatchPending();
        if (refusesSurplus()
                && presence.isUnknownForLongerThan(limits.headTimeout().toNanos())) {
            refuseUndispatched();
        }
        RequestContext firstPending = pendingRequests.first();
        if (firstPending != null && firstPending.currentAttempt != null) {
            firstPending.currentAttempt.clientInputRead();
        }
    }

    /** Refuses the complete requests of a client that does not stop sending, so that they could not be begun. */
    private void refuseUndispatched() {
        for (RequestContext requestContext : pendingRequests.convertUndispatchedToSurplus()) {
            requestContext.body.release();
            clientRequests.countSurplusRequest(FailureCause.PIPELINED);
        }
        memory.update();
        writeDueRefusals();
    }

    /** Returns what is known of the client; one that may pipeline counts as present while it has sent more. */
    ClientPresence.State presence() {
        ClientPresence.State state = presence.state();
        boolean maySendMore = state == ClientPresence.State.UNKNOWN && dialect.allowsPipelining();
        return maySendMore ? ClientPresence.State.PRESENT : state;
    }

    /** Handles the close of the client before the event loop has read it. */
    @Override
    public void clientLeft() {
        endedBy(ConnectionEnd.CLIENT_CLOSED);
        endRequests();
        channel.close();
    }

    private void updateUndecodedBytes() {
        // What waits for its turn has a budget of its own.
        boolean allowed = memory.tryHoldUndecoded(decoder.isHeldBack() ? 0 : decoder.undecodedBytes());
        boolean acceptable = allowed || inputError != null || !lifecycle.acceptsRequests();
        if (!acceptable) {
            inputFailed(new MalformedMessageException(503, "too many incomplete requests at once"));
        }
    }

    /**
     * Returns how long a partially received request may still take, in nanoseconds. Before the first response on a
     * connection, the limit for the first request applies as well; it runs from the opening of the connection.
     */
    private long receiveTimeoutNanos() {
        long sinceOpened = System.nanoTime() - openedAt;
        return anyRequestCompleted
                ? limits.headTimeout().toNanos()
                : Math.min(limits.headTimeout().toNanos(), limits.firstTimeout().toNanos() - sinceOpened);
    }

    /** Returns whether a head, or a whole request if the dialect buffers requests, has been received only in part. */
    private boolean isPartiallyReceived() {
        return !decoder.isIdle()
                && (receivingRequest == null || dialect.buffersRequests())
                && inputError == null
                && lifecycle.acceptsRequests()
                && !decoder.isHeldBack();
    }

    /**
     * Dispatches the first pending request, unless that has already happened, the client has not read earlier
     * responses, or it may have left.
     */
    private void dispatchPending() {
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            RequestContext firstPending = pendingRequests.first();
            // A failed write closes the channel before channelInactive reports it; nothing begins in between.
            while (firstPending != null
                    && channel.isActive()
                    && channel.isWritable()
                    && pendingRequests.dueRefusals() == 0
                    && !firstPending.resolutionStarted
                    && !firstPending.responseStarted
                    && (firstPending.body.isComplete() || !dialect.buffersRequests())
                    && dispatch(firstPending)) {
                firstPending = pendingRequests.first();
            }
        } finally {
            dispatching = false;
        }
        if (pendingRequests.isEmpty()) {
            respondToInputError();
        }
    }

    /** Responds to a request, or has it resolved if its client is there; returns false if it has to wait. */
    private boolean dispatch(RequestContext requestContext) {
        ProblemDetails immediateResponse = clientRequests.immediateResponse(requestContext);
        if (immediateResponse != null) {
            sendProblem(requestContext, immediateResponse);
            return true;
        }
        if (refusesRequests) {
            clientRequests.refuseBeyondLimit(requestContext);
            return true;
        }
        // While the node drains, the request is refused and nothing begins.
        if (!connectionManager.isDraining() && presence() != ClientPresence.State.PRESENT) {
            return false;
        }
        clientRequests.resolveRequest(requestContext);
        return true;
    }

    /** Takes nothing more from the client, because its input is malformed, incomplete for too long, or too much. */
    private void inputFailed(MalformedMessageException error) {
        inputError = error;
        metrics.countInputError(error.status());
        respondToInputError();
    }

    /** Responds to failed input once all requests before it have their responses. */
    private void respondToInputError() {
        if (inputError == null) {
            return;
        }
        if (receivingRequest != null) {
            // The body is malformed: its request cannot be served, and the end of the body cannot be found.
            RequestContext brokenRequest = receivingRequest;
            receivingRequest = null;
            if (brokenRequest == pendingRequests.first() && !brokenRequest.responseStarted) {
                clientRequests.requestBodyFailed(
                        brokenRequest, ProblemDetails.clientError(inputError.status(), inputError.getMessage()));
            } else {
                pendingRequests.removeIncomplete(brokenRequest);
                brokenRequest.body.release();
            }
            return;
        }
        if (pendingRequests.isEmpty() && channel.isActive() && !lifecycle.outputShut()) {
            writeProblem(
                    ProblemDetails.clientError(inputError.status(), inputError.getMessage()),
                    lifecycle.announcesClose(true, 0));
            shutOutputIfFinished();
        }
    }

    /**
     * Resumes or pauses reading from the client; while it is paused, a disconnect of the client goes unnoticed. If
     * surplus requests are refused, reading pauses only while input that has been read waits for its turn.
     */
    void updateAutoRead() {
        boolean canTakeMore = refusesSurplus() || lifecycle.outputShut() || canTakeMoreInput();
        boolean autoRead = canTakeMore && !input.isWaiting();
        if (channel.config().isAutoRead() != autoRead) {
            channel.config().setAutoRead(autoRead);
            connectionManager.countReadingPaused(canTakeMore);
        }
    }

    @Override
    public void inputWaitingChanged() {
        updateAutoRead();
        if (connectionManager.isDraining()) {
            refuseWaitingInput();
        }
    }

    private boolean canTakeMoreInput() {
        boolean betweenRequests = receivingRequest == null;
        if (betweenRequests && !pendingRequests.isEmpty() && memory.account().exceedsThreshold()) {
            return false;
        }
        return !pendingRequests.isFull() && (betweenRequests || receivingRequest.body.needsMoreInput());
    }

    /** What this connection holds of the node's memory for clients. */
    ConnectionMemory memory() {
        return memory;
    }

    /** Updates the account after a write; what the client is slow to read is looked at again later. */
    private void responseBytesWritten() {
        memory.update();
        if (memory.hasUnsentBytes()) {
            connectionManager.watchUnsentBytes(this);
        }
    }

    /**
     * Gives up what the connection can do without, because it holds more than it may: requests that wait behind
     * another one are refused, and a client that does not read its responses is disconnected.
     */
    void giveWay() {
        List<RequestContext> refused = refusesSurplus() ? pendingRequests.convertWaitingToSurplus() : List.of();
        for (RequestContext requestContext : refused) {
            requestContext.body.release();
            clientRequests.countSurplusRequest(FailureCause.MEMORY);
        }
        memory.update();
        boolean unread = memory.exceedsThresholdByUnsentBytes();
        if (!refused.isEmpty() || unread) {
            connectionManager.countGaveWay();
        }
        if (unread) {
            log.accept(
                    "client cut off: " + memory.unsentBytes() + " bytes of responses not read while memory was short");
            endedBy(ConnectionEnd.GAVE_WAY);
            Transports.reset(channel);
        }
    }

    /** Whether a response is owed or not yet fully written to the socket. */
    boolean isBusy() {
        return owedResponses() > 0 || memory.hasUnsentBytes();
    }

    /** Returns the number of responses that this connection owes; {@link ConnectionLifecycle} says from when on. */
    private int owedResponses() {
        if (lifecycle.outputShut()) {
            return 0;
        }
        return pendingRequests.pendingResponseCount() + (owesResponseOutsidePipeline() ? 1 : 0);
    }

    /** Whether a response is owed to an incomplete head, an incomplete surplus request or a malformed message. */
    private boolean owesResponseOutsidePipeline() {
        boolean incompleteHead = receivingRequest == null && lifecycle.acceptsRequests() && !decoder.isIdle();
        return inputError != null || receivingSurplus != null || incompleteHead;
    }

    /** Whether the response to the first pending request must announce that the connection closes after it. */
    private boolean announcesClose(boolean required) {
        return lifecycle.announcesClose(required, Math.max(0, owedResponses() - 1));
    }

    /** Sends {@code 100 Continue} if the client waits for it before sending the body. */
    void sendContinue(RequestContext requestContext) {
        if (requestContext.head.expectsContinue() && !requestContext.body.isComplete() && channel.isActive()) {
            channel.writeAndFlush(CONTINUE_RESPONSE.duplicate());
        }
    }

    /** Sends a problem document generated by this node as the response. */
    void sendProblem(RequestContext requestContext, ProblemDetails problem) {
        if (requestContext.responseStarted) {
            throw new IllegalStateException("the response has already been started");
        }
        requestContext.responseStarted = true;
        writeProblem(problem, announcesClose(!requestContext.body.isComplete() || !requestContext.head.keepAlive()));
        responseFinished(requestContext);
    }

    private void writeProblem(ProblemDetails problem, boolean close) {
        if (!channel.isActive()) {
            return;
        }
        boolean headOnly = !pendingRequests.isEmpty()
                && pendingRequests.first().head.method().equals("HEAD");
        ByteBuf out = responseEncoder.encodeProblem(channel.alloc(), problem, headOnly, close);
        channel.writeAndFlush(out);
        startWriteStallTimer();
    }

    /** Starts forwarding a server's response by writing its head. */
    void startResponse(RequestContext requestContext, MessageHead.ResponseHead head) {
        requestContext.responseStarted = true;
        boolean endsWithConnection = responseEncoder.beginForwarding(requestContext.head, head);
        boolean lastResponse =
                endsWithConnection || !requestContext.head.keepAlive() || !requestContext.body.isComplete();
        channel.write(responseEncoder.encodeHead(channel.alloc(), head, announcesClose(lastResponse)));
    }

    /** Writes a piece of the response body; returns false if the connection is not writable for now. */
    boolean writePiece(ByteBuf piece) {
        if (!channel.isActive()) {
            piece.release();
            return true;
        }
        responseEncoder.writePiece(channel, piece);
        startWriteStallTimer();
        responseBytesWritten();
        return channel.isWritable();
    }

    /** Completes the response. */
    void endResponse(RequestContext requestContext, HttpFields trailers) {
        responseEncoder.writeEnd(channel, trailers);
        responseFinished(requestContext);
    }

    /** Resets the connection because the response broke off, so that the client does not consider it complete. */
    void abortResponse(RequestContext requestContext) {
        endedBy(ConnectionEnd.RESPONSE_BROKEN);
        Transports.reset(channel);
        requestContext.body.release();
    }

    private void responseFinished(RequestContext requestContext) {
        anyRequestCompleted = true;
        requestContext.body.release();
        if (pendingRequests.first() != requestContext) {
            // The connection was closed in the meantime.
            return;
        }
        pendingRequests.removeFirst();
        responseBytesWritten();
        if (receivingRequest == requestContext) {
            receivingRequest = null;
        }
        if (!lifecycle.closeAnnounced()) {
            writeDueRefusals();
        }
        if (shutOutputIfFinished()) {
            return;
        }
        updateIdle();
        dispatchPending();
        updateAutoRead();
    }

    /** Whether a request lies in the socket that the event loop has not come to read. */
    boolean hasUnreadInput() {
        return ClientSocketChannel.unreadInput(channel) == ClientSocketChannel.UnreadInput.BYTES;
    }

    /** Shuts the output if the connection is closing and no response is owed; returns whether it did. */
    private boolean shutOutputIfFinished() {
        if (lifecycle.endsAtRest(owedResponses()) && hasUnreadInput()) {
            return false;
        }
        ConnectionEnd cause = lifecycle.closeAnnounced() ? ConnectionEnd.ANNOUNCED : ConnectionEnd.AT_REST;
        boolean shouldShut = lifecycle.shouldShutOutput(owedResponses());
        if (shouldShut) {
            endedBy(cause);
            shutOutput();
        }
        return shouldShut;
    }

    /** Shuts the output, then reads and discards input until the client closes or the linger time is over. */
    private void shutOutput() {
        timer.cancel(receiveTimer);
        timer.cancel(idleTimer);
        pendingRequests.removeAll().forEach(pendingRequest -> pendingRequest.body.release());
        receivingRequest = null;
        receivingSurplus = null;
        connectionManager.startLingering(this);
        updateAutoRead();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) writeFuture -> {
            if (channel instanceof DuplexChannel socket && socket.isActive()) {
                socket.shutdownOutput();
            }
            timer.schedule(limits.linger().toNanos(), channel::close);
        });
    }

    /** Marks the connection as idle, and starts its idle timer, once it owes no response; or ends that. */
    private void updateIdle() {
        if (owedResponses() > 0 || lifecycle.outputShut()) {
            endIdle();
        } else if (!idle) {
            idle = true;
            connectionManager.setIdle(this, true);
            Duration idleTimeout = anyRequestCompleted ? limits.idleTimeout() : limits.firstTimeout();
            idleTimer = timer.schedule(idleTimeout.toNanos(), this::closeAfterPendingResponses);
        }
    }

    private void endIdle() {
        idle = false;
        connectionManager.setIdle(this, false);
        timer.cancel(idleTimer);
    }

    /** Closes the connection if the client reads nothing for the write stall timeout. */
    private void startWriteStallTimer() {
        if (channel.isWritable() || stallTimer != null) {
            return;
        }
        stallTimer = timer.schedule(limits.writeStall().toNanos(), () -> {
            stallTimer = null;
            if (channel.isActive() && !channel.isWritable()) {
                log.accept("client cut off: took nothing for "
                        + limits.writeStall().toMillis() + " ms");
                endedBy(ConnectionEnd.WRITE_STALLED);
                channel.close();
            }
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            timer.cancel(stallTimer);
            stallTimer = null;
            memory.update();
            writeDueRefusals();
            dispatchPending();
            RequestContext firstPending = pendingRequests.first();
            if (firstPending != null && firstPending.currentAttempt != null) {
                firstPending.currentAttempt.clientWritable();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endedBy(ConnectionEnd.CLIENT_CLOSED);
        endRequests();
        timer.cancel(receiveTimer);
        timer.cancel(idleTimer);
        timer.cancel(stallTimer);
        memory.close();
        connectionManager.connectionClosed(this);
    }

    /** Ends all requests, because nobody is there to get their responses. */
    private void endRequests() {
        lifecycle.noMoreRequests();
        receivingRequest = null;
        pendingRequests.removeAll().forEach(clientRequests::clientGone);
    }

    /** Closes the connection after its next response; until then it stays open, also while it is idle. */
    void closeAfterNextResponse() {
        lifecycle.beginClose();
        awaitsNextRequest = true;
    }

    /** Refuses the next request and closes the connection after it. */
    void refuseRequests() {
        refusesRequests = true;
        closeAfterNextResponse();
    }

    /** Closes the connection after all responses that it owes. */
    void closeAfterPendingResponses() {
        lifecycle.beginClose();
        awaitsNextRequest = false;
        shutOutputIfFinished();
    }

    /** Answers what has been received, and closes the connection; a client that sends on cannot keep it open. */
    void drain() {
        closeAfterPendingResponses();
        dispatchPending();
        refuseWaitingInput();
    }

    private void refuseWaitingInput() {
        if (refusesSurplus() && input.isWaiting()) {
            refuseIncompleteRequest();
        }
    }

    /** Refuses what is only partly received, and closes the connection after the responses to earlier requests. */
    void refuseIncompleteRequest() {
        refuseIncompleteRequest("the node stops before the request is complete");
    }

    /** As above, because the node may hold no further connection. */
    void refuseIncompleteRequestAtLimit() {
        refuseIncompleteRequest("others wait for a connection, and the request is not complete");
    }

    private void refuseIncompleteRequest(String reason) {
        closeAfterPendingResponses();
        if (inputError == null && (receivingRequest != null || owesResponseOutsidePipeline())) {
            inputFailed(new MalformedMessageException(503, reason));
        }
    }

    void close() {
        endedBy(ConnectionEnd.NODE_ENDED);
        channel.close();
    }

    /** Counts what ends the connection, and logs it if requests are left without their responses. */
    private void endedBy(ConnectionEnd cause) {
        if (end != null) {
            return;
        }
        end = cause;
        metrics.countConnectionEnd(cause);
        int owed = lifecycle.closeAnnounced() ? 0 : owedResponses();
        if (owed > 0 && cause != ConnectionEnd.CLIENT_CLOSED) {
            RequestContext firstPending = pendingRequests.first();
            log.accept("connection ended over requests: cause=" + cause + " responses_owed=" + owed + " client_request="
                    + (firstPending == null ? null : firstPending.clientRequestId));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelErrors.report(channel, cause);
        endedBy(cause instanceof IOException ? ConnectionEnd.CLIENT_CLOSED : ConnectionEnd.ERROR);
        channel.close();
    }
}
