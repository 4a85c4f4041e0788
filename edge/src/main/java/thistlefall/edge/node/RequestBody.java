package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpFields;
import thistlefall.memory.MemoryBudget;

/**
 * The body of a request. Pieces are forwarded as they arrive and also buffered for another attempt while they stay
 * within the replay limit and the memory of the client's connection. Confined to the node's event loop; sizes are in
 * bytes.
 */
final class RequestBody {
    /** The receiver of a body. */
    interface BodySink {
        /** Takes a piece of the body; the receiver releases it. */
        void writePiece(ByteBuf piece);

        /** Called when the body is complete. */
        void endBody(HttpFields trailers);

        /** Whether the receiver can take more. */
        boolean isWritable();
    }

    private final int replayLimit;
    private final MemoryBudget.Account memory;
    private final GrowingBuffer buffer;
    private boolean bufferDiscarded;
    private boolean released;
    private HttpFields trailers;
    private BodySink sink;

    /** Creates a body that buffers up to {@code replayLimit} bytes, as far as the connection's memory allows. */
    RequestBody(Framing framing, int replayLimit, MemoryBudget.Account memory) {
        this.replayLimit = replayLimit;
        this.memory = memory;
        boolean lengthKnown = framing.kind() == Framing.FramingKind.LENGTH && framing.length() <= replayLimit;
        buffer = new GrowingBuffer(lengthKnown ? (int) framing.length() : 0);
    }

    boolean isComplete() {
        return trailers != null;
    }

    /** Returns the number of bytes buffered. */
    int bufferedBytes() {
        return buffer.size();
    }

    /** Returns the memory that the buffered bytes take. */
    int heldBytes() {
        return buffer.capacity();
    }

    /** Copies all buffered bytes to {@code out}. */
    void copyTo(ByteBuf out) {
        buffer.copyTo(out);
    }

    /** Whether everything received so far is still buffered for another attempt. */
    boolean isReplayable() {
        return !bufferDiscarded;
    }

    /** Whether more should be read from the client. */
    boolean needsMoreInput() {
        return sink != null ? sink.isWritable() : buffer.size() < replayLimit;
    }

    /** Adds a piece and takes ownership of it; returns false if it can be neither buffered nor forwarded. */
    boolean add(ByteBuf piece) {
        if (released) {
            piece.release();
            return true;
        }
        if (!bufferDiscarded && !memory.tryGrow(buffer.growthFor(piece.readableBytes()))) {
            if (sink == null) {
                piece.release();
                return false;
            }
            discardBuffer();
        }
        if (!bufferDiscarded) {
            buffer.append(piece);
        }
        if (sink != null) {
            sink.writePiece(piece);
            discardIfTooLong();
        } else {
            piece.release();
        }
        return true;
    }

    void complete(HttpFields receivedTrailers) {
        trailers = receivedTrailers;
        if (sink != null) {
            sink.endBody(receivedTrailers);
        }
    }

    /** Sends everything buffered, and everything received from now on, to a sink. */
    void attach(BodySink newSink) {
        sink = newSink;
        ByteBuf bufferedCopy = buffer.copy();
        if (bufferedCopy != null) {
            newSink.writePiece(bufferedCopy);
        }
        discardIfTooLong();
        if (isComplete()) {
            newSink.endBody(trailers);
        }
    }

    void detach() {
        sink = null;
    }

    private void discardIfTooLong() {
        if (buffer.size() > replayLimit && !bufferDiscarded) {
            discardBuffer();
        }
    }

    private void discardBuffer() {
        bufferDiscarded = true;
        buffer.release();
    }

    void release() {
        released = true;
        sink = null;
        buffer.release();
    }
}
