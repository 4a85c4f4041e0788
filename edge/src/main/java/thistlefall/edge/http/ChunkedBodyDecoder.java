package thistlefall.edge.http;

import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * Decodes a chunked body (RFC 9112 section 7.1). Chunk extensions are checked for length and characters, and dropped.
 */
final class ChunkedBodyDecoder {
    private enum ChunkState {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS
    }

    private final HttpLimits limits;
    private final HeadParser trailerParser;
    private ChunkState state = ChunkState.SIZE;
    private long remainingChunkBytes;
    private long totalBodyBytes;

    ChunkedBodyDecoder(HttpLimits limits) {
        this.limits = limits;
        trailerParser = new HeadParser(limits, false);
    }

    void reset() {
        state = ChunkState.SIZE;
        remainingChunkBytes = 0;
        totalBodyBytes = 0;
        trailerParser.reset();
    }

    /** Adds the next body piece or finally a {@link BodyEnd} to {@code out}; true when the body is complete. */
    boolean decode(ByteBuf in, List<Object> out) throws MalformedMessageException {
        while (true) {
            switch (state) {
                case SIZE -> {
                    int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
                    if ((lineFeed < 0 ? in.readableBytes() : lineFeed - in.readerIndex()) > limits.maxLineBytes()) {
                        throw new MalformedMessageException(
                                400, "a chunk size line is longer than " + limits.maxLineBytes() + " bytes");
                    }
                    if (lineFeed < 0) {
                        return false;
                    }
                    remainingChunkBytes = parseChunkSize(in, lineFeed);
                    in.readerIndex(lineFeed + 1);
                    totalBodyBytes += remainingChunkBytes;
                    if (totalBodyBytes > limits.maxBodyBytes()) {
                        throw new MalformedMessageException(
                                413, "the body is longer than " + limits.maxBodyBytes() + " bytes");
                    }
                    state = remainingChunkBytes == 0 ? ChunkState.TRAILERS : ChunkState.DATA;
                }
                case DATA -> {
                    int length = (int) Math.min(remainingChunkBytes, in.readableBytes());
                    if (length == 0) {
                        return false;
                    }
                    out.add(in.readRetainedSlice(length));
                    remainingChunkBytes -= length;
                    if (remainingChunkBytes == 0) {
                        state = ChunkState.DATA_END;
                    }
                    return false;
                }
                case DATA_END -> {
                    if (in.readableBytes() < 2) {
                        return false;
                    }
                    if (in.readShort() != ('\r' << 8 | '\n')) {
                        throw new MalformedMessageException(400, "a chunk is longer than its size");
                    }
                    state = ChunkState.SIZE;
                }
                case TRAILERS -> {
                    if (!trailerParser.readBlock(in)) {
                        return false;
                    }
                    HttpFields fields = trailerParser.parseFields();
                    out.add(fields.size() == 0 ? BodyEnd.WITHOUT_TRAILERS : new BodyEnd(fields));
                    reset();
                    return true;
                }
            }
        }
    }

    private static long parseChunkSize(ByteBuf in, int lineFeed) throws MalformedMessageException {
        int lineEnd = lineFeed - 1;
        int position = in.readerIndex();
        if (lineEnd < position || in.getByte(lineEnd) != '\r') {
            throw new MalformedMessageException(400, "a chunk size line ends in LF without CR");
        }
        long value = 0;
        int digits = 0;
        for (; position < lineEnd; position++, digits++) {
            int digit = CharacterClasses.hexDigitValue(in.getByte(position));
            if (digit < 0) {
                break;
            }
            if (digits == 15) {
                throw new MalformedMessageException(400, "a chunk size is too large");
            }
            value = value << 4 | digit;
        }
        if (digits == 0) {
            throw new MalformedMessageException(400, "a chunk has no size");
        }
        while (position < lineEnd && CharacterClasses.isBlank(in.getByte(position))) {
            position++;
        }
        if (position < lineEnd && in.getByte(position) != ';') {
            throw new MalformedMessageException(400, "a chunk size is not a hexadecimal number");
        }
        for (; position < lineEnd; position++) {
            if (!CharacterClasses.isFieldValueCharacter(in.getByte(position))) {
                throw new MalformedMessageException(400, "a chunk extension contains a control character");
            }
        }
        return value;
    }
}
