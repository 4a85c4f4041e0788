package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import thistlefall.edge.http.DecodeTurn;
import thistlefall.edge.http.RequestDecoder;
import thistlefall.turn.InputTurn;

/**
 * Has the input of one client decoded in turns, so that a client that sends much does not delay the others. Input
 * beyond the turn waits in {@link WaitingInput}; nothing more is read from the client meanwhile. Stands before the
 * decoder in the pipeline. Confined to the node's event loop; times are monotonic nanoseconds.
 */
final class ClientInput extends ChannelInboundHandlerAdapter implements DecodeTurn {
    /** What is read at once from a client that sends more than one request at a time. */
    private static final int SMALL_READ_BYTES = 1024;

    private final WaitingInput waitingInput;
    private final RequestDecoder decoder;
    private final EventLoopTimer timer;
    private final NodeMetrics metrics;
    private final Listener listener;
    private final InputTurn turn = new InputTurn();
    private ChannelHandlerContext context;
    private boolean waiting;
    private long waitingSince;
    private long heldBytes;
    private boolean turnExhausted;
    private boolean waitedSinceLastRead;
    private long lastReadAt = System.nanoTime();
    private long arrivedAt;

    /** Learns what the input shows beside requests. */
    interface Listener {
        /** Called when input begins or ends to wait. */
        void inputWaitingChanged();

        /** Called when the client has closed its side behind input that has not been handled. */
        void clientLeft();
    }

    /** Creates the handler. */
    ClientInput(
            WaitingInput waitingInput,
            RequestDecoder decoder,
            EventLoopTimer timer,
            NodeMetrics metrics,
            Listener listener) {
        this.waitingInput = waitingInput;
        this.decoder = decoder;
        this.timer = timer;
        this.metrics = metrics;
        this.listener = listener;
        decoder.setTurn(this);
    }

    /** Whether input that has been read waits for its turn. */
    boolean isWaiting() {
        return waiting;
    }

    /**
     * Returns the earliest time at which the input that was read last can have arrived. What is read after a wait may
     * have been in the socket all that time.
     */
    long arrivedAt() {
        return arrivedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
        if (context.channel() instanceof ClientSocketChannel socketChannel) {
            socketChannel.setByteReadAheadListener(() -> waitingInput.add(this));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) {
        long now = System.nanoTime();
        arrivedAt = waitedSinceLastRead ? lastReadAt : timer.earliestArrival();
        lastReadAt = now;
        waitedSinceLastRead = false;
        if (decoder.discardsInput() && message instanceof ByteBuf bytes) {
            metrics.discardedBytes += bytes.readableBytes();
        }
        turn.beginAfterRead(now);
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext readContext) {
        context.fireChannelReadComplete();
        if (context.channel() instanceof ClientSocketChannel socketChannel) {
            socketChannel.setMaxReadBytes(turnExhausted ? SMALL_READ_BYTES : Integer.MAX_VALUE);
        }
        turnExhausted = false;
        updateHeldBytes();
        if (decoder.isHeldBack() && context.channel().isActive()) {
            beginWaiting();
        }
    }

    private void updateHeldBytes() {
        long decoderBytes = waiting ? decoder.undecodedBytes() : 0;
        long socketBytes =
                context.channel() instanceof ClientSocketChannel socketChannel ? socketChannel.lookAheadBytes() : 0;
        waitingInput.addHeldBytes(decoderBytes + socketBytes - heldBytes);
        heldBytes = decoderBytes + socketBytes;
    }

    private void beginWaiting() {
        if (!waiting) {
            metrics.inputWaits++;
            waitingSince = System.nanoTime();
            waiting = true;
            waitedSinceLastRead = true;
            listener.inputWaitingChanged();
        }
        updateHeldBytes();
        waitingInput.add(this);
    }

    /** Handles the next part of the input that waits; nothing of it if its client has left. */
    void takeTurn() {
        try {
            takeTurnUnguarded();
        } catch (RuntimeException | OutOfMemoryError e) {
            // As for a read of the event loop: an error ends the connection, and nothing else.
            context.fireExceptionCaught(e);
        }
    }

    private void takeTurnUnguarded() {
        if (clientHasLeft()) {
            listener.clientLeft();
        } else if (waiting) {
            decodeWaitingInput();
        } else if (context.channel() instanceof ClientSocketChannel socketChannel) {
            socketChannel.readWhatWasReadAhead();
        }
    }

    /** Looks for the end of the input, as far as there is memory for what lies before it. */
    private boolean clientHasLeft() {
        if (!(context.channel() instanceof ClientSocketChannel socketChannel)
                || !socketChannel.isOpen()
                || !waitingInput.hasRoomFor(ClientSocketChannel.MAX_LOOK_AHEAD_BYTES)) {
            return false;
        }
        boolean left = socketChannel.lookAhead() == ClientSocketChannel.UnreadInput.END;
        updateHeldBytes();
        return left;
    }

    private void decodeWaitingInput() {
        turn.beginAfterWait(System.nanoTime());
        context.fireChannelRead(Unpooled.EMPTY_BUFFER);
        context.fireChannelReadComplete();
        if (decoder.isHeldBack() && context.channel().isActive()) {
            updateHeldBytes();
            waitingInput.add(this);
        } else {
            endWaiting();
        }
    }

    private void endWaiting() {
        waiting = false;
        updateHeldBytes();
        metrics.longestInputWait = Math.max(metrics.longestInputWait, System.nanoTime() - waitingSince);
        listener.inputWaitingChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactiveContext) {
        waiting = false;
        updateHeldBytes();
        waitingInput.remove(this);
        decoder.discardInput();
        context.fireChannelInactive();
    }

    @Override
    public boolean mayTakeStep() {
        if (turn.mayTakeStep(System.nanoTime())) {
            return true;
        }
        turnExhausted = true;
        return !waitingInput.hasRoom();
    }

    @Override
    public void messageDecoded() {
        turn.requestHandled();
    }
}
