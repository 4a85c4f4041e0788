package thistlefall.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Decodes the bytes of a connection into messages: a {@link MessageHead}, then the body as {@link ByteBuf} pieces,
 * which the receiver releases, then a {@link BodyEnd}. For a malformed message it emits a {@link
 * MalformedMessageException} and nothing more, because where that message ends, and so what the next bytes mean, is
 * unknown.
 */
abstract class MessageDecoder extends ByteToMessageDecoder {
    private enum DecoderState {
        HEAD,
        LENGTH,
        CHUNKED,
        CLOSE,
        BROKEN
    }

    final HttpLimits limits;
    private final HeadParser headParser;
    private final ChunkedBodyDecoder chunkedDecoder;
    private DecoderState state = DecoderState.HEAD;
    private long remainingBodyBytes;
    private DecodeTurn turn = DecodeTurn.UNBOUNDED;
    private boolean heldBack;

    MessageDecoder(HttpLimits limits) {
        this.limits = limits;
        headParser = new HeadParser(limits, true);
        chunkedDecoder = new ChunkedBodyDecoder(limits);
    }

    /** Sets who bounds what is decoded at once. */
    public final void setTurn(DecodeTurn newTurn) {
        turn = newTurn;
    }

    /** Whether the last turn has ended before everything was decoded; an empty read continues. */
    public final boolean isHeldBack() {
        return heldBack;
    }

    /** Discards all further input without decoding it. */
    public final void discardInput() {
        state = DecoderState.BROKEN;
    }

    /** Whether all further input is discarded. */
    public final boolean discardsInput() {
        return state == DecoderState.BROKEN;
    }

    /** Returns the memory taken by bytes that cannot be decoded before more have arrived. */
    public final int undecodedBytes() {
        return internalBuffer().capacity();
    }

    /** A buffer that the socket was read into may be much larger than the incomplete message that is left in it. */
    private void shrinkUndecodedBytes() {
        ByteBuf undecoded = internalBuffer();
        int bytes = undecoded.readableBytes();
        if (bytes > 0 && undecoded.refCnt() == 1 && undecoded.capacity() > 2 * bytes) {
            undecoded.discardReadBytes();
            undecoded.capacity(bytes);
        }
    }

    @Override
    public final void channelReadComplete(ChannelHandlerContext context) throws Exception {
        shrinkUndecodedBytes();
        super.channelReadComplete(context);
    }

    /** Parses the head from the block that the parser has just read. */
    abstract MessageHead parseHead(HeadParser parser) throws MalformedMessageException;

    /** Whether the last message is complete and no byte of another has arrived, decoded or not. */
    public final boolean isIdle() {
        return state == DecoderState.HEAD
                && !headParser.hasStarted()
                && !internalBuffer().isReadable();
    }

    @Override
    protected final void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        heldBack = state != DecoderState.BROKEN && !turn.mayTakeStep();
        if (heldBack) {
            return;
        }
        int partsBefore = out.size();
        try {
            decodeNext(in, out);
            if (state == DecoderState.HEAD && out.size() > partsBefore) {
                turn.messageDecoded();
            }
        } catch (MalformedMessageException malformed) {
            state = DecoderState.BROKEN;
            in.skipBytes(in.readableBytes());
            out.add(malformed);
        }
    }

    private void decodeNext(ByteBuf in, List<Object> out) throws MalformedMessageException {
        switch (state) {
            case HEAD -> {
                if (headParser.readBlock(in)) {
                    MessageHead head = parseHead(headParser);
                    out.add(head);
                    beginBody(head.framing(), isInterim(head), out);
                }
            }
            case LENGTH -> {
                int length = (int) Math.min(remainingBodyBytes, in.readableBytes());
                if (length > 0) {
                    out.add(in.readRetainedSlice(length));
                    remainingBodyBytes -= length;
                    if (remainingBodyBytes == 0) {
                        endMessage(out);
                    }
                }
            }
            case CHUNKED -> {
                if (chunkedDecoder.decode(in, out)) {
                    state = DecoderState.HEAD;
                }
            }
            case CLOSE -> out.add(in.readRetainedSlice(in.readableBytes()));
            case BROKEN -> in.skipBytes(in.readableBytes());
        }
    }

    /** Whether this is the head of an interim (1xx) response. */
    boolean isInterim(MessageHead head) {
        return false;
    }

    private void beginBody(Framing framing, boolean interim, List<Object> out) {
        switch (framing.kind()) {
            case NONE -> {
                if (!interim) {
                    out.add(BodyEnd.WITHOUT_TRAILERS);
                }
            }
            case LENGTH -> {
                remainingBodyBytes = framing.length();
                state = DecoderState.LENGTH;
            }
            case CHUNKED -> {
                chunkedDecoder.reset();
                state = DecoderState.CHUNKED;
            }
            case CLOSE -> state = DecoderState.CLOSE;
        }
    }

    private void endMessage(List<Object> out) {
        out.add(BodyEnd.WITHOUT_TRAILERS);
        state = DecoderState.HEAD;
    }

    @Override
    protected final void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.isReadable()) {
            decode(context, in, out);
        }
        if (state == DecoderState.CLOSE) {
            endMessage(out);
        }
    }

    /** The minor HTTP version in eight bytes of a head; 1 for any higher one. */
    static int parseMinorVersion(byte[] block, int start, int end) throws MalformedMessageException {
        boolean validVersion = end - start == 8
                && block[start] == 'H'
                && block[start + 1] == 'T'
                && block[start + 2] == 'T'
                && block[start + 3] == 'P'
                && block[start + 4] == '/'
                && block[start + 6] == '.'
                && isDigit(block[start + 5])
                && isDigit(block[start + 7]);
        if (!validVersion) {
            throw new MalformedMessageException(400, "the start line has no HTTP version");
        }
        if (block[start + 5] != '1') {
            throw new MalformedMessageException(505, "the major HTTP version is not 1");
        }
        return Math.min(1, block[start + 7] - '0');
    }

    static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }
}
