package thistlefall.edge.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Finds the end of a block of lines as its bytes arrive, then splits it into a start line and field lines. Each byte is
 * searched for a line end only once, however the bytes are split. Used for heads (with a start line) and for trailers
 * (without one).
 */
final class HeadParser {
    private final HttpLimits limits;
    private final boolean hasStartLine;
    /** For each line found so far, the position of its CR, relative to the start of the block. */
    private int[] lineEnds = new int[32];

    private int lineCount;
    private int scannedBytes;
    /** The bytes of the block that was read last; null if there is none. */
    private byte[] block;

    HeadParser(HttpLimits limits, boolean hasStartLine) {
        this.limits = limits;
        this.hasStartLine = hasStartLine;
    }

    /** Whether any byte of the current block has been scanned. */
    boolean hasStarted() {
        return scannedBytes > 0;
    }

    /** Reads the block from the buffer once its final empty line has arrived; false if more bytes are needed. */
    boolean readBlock(ByteBuf in) throws MalformedMessageException {
        int blockStart = in.readerIndex();
        int lineStart = lineCount == 0 ? 0 : lineEnds[lineCount - 1] + 2;
        while (true) {
            int lineFeed = in.indexOf(blockStart + scannedBytes, in.writerIndex(), (byte) '\n');
            if (lineFeed < 0) {
                scannedBytes = in.writerIndex() - blockStart;
                checkLengths(scannedBytes - lineStart, scannedBytes);
                return false;
            }
            int carriageReturn = lineFeed - blockStart - 1;
            scannedBytes = carriageReturn + 2;
            checkLengths(carriageReturn - lineStart, scannedBytes);
            if (carriageReturn < lineStart || in.getByte(blockStart + carriageReturn) != '\r') {
                throw new MalformedMessageException(400, "a line ends in LF without CR");
            }
            if (carriageReturn == lineStart && !(hasStartLine && lineCount == 0)) {
                block = new byte[scannedBytes];
                in.readBytes(block);
                return true;
            }
            if (carriageReturn == lineStart) {
                // One empty line before a request line is skipped (RFC 9112 section 2.2).
                if (skippedEmptyLine) {
                    throw new MalformedMessageException(400, "there is more than one empty line before the request");
                }
                skippedEmptyLine = true;
                in.skipBytes(2);
                blockStart += 2;
                scannedBytes = 0;
                continue;
            }
            if (lineCount == lineEnds.length) {
                lineEnds = Arrays.copyOf(lineEnds, lineCount * 2);
            }
            lineEnds[lineCount++] = carriageReturn;
            if (lineCount - (hasStartLine ? 1 : 0) > limits.maxFields()) {
                throw new MalformedMessageException(431, "there are more than " + limits.maxFields() + " field lines");
            }
            lineStart = carriageReturn + 2;
        }
    }

    private boolean skippedEmptyLine;

    private void checkLengths(int lineLength, int headLength) throws MalformedMessageException {
        if (lineLength > limits.maxLineBytes()) {
            boolean inStartLine = hasStartLine && lineCount == 0;
            throw new MalformedMessageException(
                    inStartLine ? 414 : 431, "a line is longer than " + limits.maxLineBytes() + " bytes");
        }
        if (headLength > limits.maxHeadBytes()) {
            throw new MalformedMessageException(
                    431, "the message head is longer than " + limits.maxHeadBytes() + " bytes");
        }
    }

    /** The bytes of the block that was read last. */
    byte[] block() {
        return block;
    }

    /** The end of the first line of that block. */
    int firstLineEnd() {
        return lineEnds[0];
    }

    /** Splits the block that was read last into fields, and resets the parser for the next block. */
    HttpFields parseFields() throws MalformedMessageException {
        int firstFieldLine = hasStartLine ? 1 : 0;
        int count = lineCount - firstFieldLine;
        int[] spans = new int[count * 4];
        int lineStart = hasStartLine ? lineEnds[0] + 2 : 0;
        for (int line = 0; line < count; line++) {
            int lineEnd = lineEnds[line + firstFieldLine];
            parseFieldLine(lineStart, lineEnd, spans, line * 4);
            lineStart = lineEnd + 2;
        }
        HttpFields fields = count == 0 ? HttpFields.EMPTY : new HttpFields(block, spans, count);
        reset();
        return fields;
    }

    private void parseFieldLine(int lineStart, int lineEnd, int[] spans, int offset) throws MalformedMessageException {
        byte[] bytes = block;
        if (CharacterClasses.isBlank(bytes[lineStart])) {
            throw new MalformedMessageException(400, "a field line is folded");
        }
        int colon = lineStart;
        while (colon < lineEnd && CharacterClasses.isTokenCharacter(bytes[colon])) {
            colon++;
        }
        if (colon == lineEnd || bytes[colon] != ':') {
            throw new MalformedMessageException(
                    400,
                    colon < lineEnd && CharacterClasses.isBlank(bytes[colon])
                            ? "there is white space before the colon of a field"
                            : "a field name is not a token");
        }
        if (colon == lineStart) {
            throw new MalformedMessageException(400, "a field has no name");
        }
        int valueStart = colon + 1;
        int valueEnd = lineEnd;
        while (valueStart < valueEnd && CharacterClasses.isBlank(bytes[valueStart])) {
            valueStart++;
        }
        while (valueEnd > valueStart && CharacterClasses.isBlank(bytes[valueEnd - 1])) {
            valueEnd--;
        }
        for (int i = valueStart; i < valueEnd; i++) {
            if (!CharacterClasses.isFieldValueCharacter(bytes[i])) {
                throw new MalformedMessageException(
                        400,
                        bytes[i] == '\r'
                                ? "a field value contains CR without LF"
                                : "a field value contains a control character");
            }
        }
        spans[offset] = lineStart;
        spans[offset + 1] = colon;
        spans[offset + 2] = valueStart;
        spans[offset + 3] = valueEnd;
    }

    /** Discards the current block. */
    void reset() {
        lineCount = 0;
        scannedBytes = 0;
        block = null;
        skippedEmptyLine = false;
    }
}
