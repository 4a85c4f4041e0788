package thistlefall.edge.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes a byte stream into RESP2 values, within limits: lines of 1 KiB, bulk strings of 64 KiB, arrays of 1,024 items
 * nested 4 deep. Anything else makes the connection unusable.
 */
public final class RespDecoder extends ByteToMessageDecoder {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_BULK_BYTES = 64 * 1024;
    private static final int MAX_ARRAY_ITEMS = 1024;
    private static final int MAX_ARRAY_DEPTH = 4;

    private static final class PartialArray {
        private final int expectedItems;
        private final List<RespReply> items = new ArrayList<>();

        private PartialArray(int expectedItems) {
            this.expectedItems = expectedItems;
        }
    }

    private final ArrayDeque<PartialArray> partialArrays = new ArrayDeque<>();
    private int pendingBulkLength = -1;

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (pendingBulkLength >= 0) {
            if (in.readableBytes() >= pendingBulkLength + 2) {
                byte[] bytes = new byte[pendingBulkLength];
                in.readBytes(bytes);
                if (in.readShort() != ('\r' << 8 | '\n')) {
                    throw new CorruptedFrameException("bulk string is longer than its length");
                }
                pendingBulkLength = -1;
                addValue(new RespReply.Bulk(bytes), out);
            }
            return;
        }
        int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if ((lineFeed < 0 ? in.readableBytes() : lineFeed - in.readerIndex()) > MAX_LINE_BYTES) {
            throw new CorruptedFrameException("line is longer than " + MAX_LINE_BYTES + " bytes");
        }
        if (lineFeed < 0) {
            return;
        }
        if (lineFeed - in.readerIndex() < 2 || in.getByte(lineFeed - 1) != '\r') {
            throw new CorruptedFrameException("line has no type or ends in LF without CR");
        }
        char type = (char) in.readByte();
        String line = in.readCharSequence(lineFeed - 1 - in.readerIndex(), StandardCharsets.UTF_8)
                .toString();
        in.skipBytes(2);
        switch (type) {
            case '+' -> addValue(new RespReply.Simple(line), out);
            case '-' -> addValue(new RespReply.Error(line), out);
            case ':' -> addValue(new RespReply.Int(parseNumber(line)), out);
            case '$' -> {
                long length = parseNumber(line);
                if (length == -1) {
                    addValue(new RespReply.Bulk(null), out);
                } else {
                    pendingBulkLength = (int) checkLength(length, MAX_BULK_BYTES);
                }
            }
            case '*' -> {
                long length = parseNumber(line);
                if (length == -1) {
                    addValue(new RespReply.Array(null), out);
                } else if (checkLength(length, MAX_ARRAY_ITEMS) == 0) {
                    addValue(new RespReply.Array(List.of()), out);
                } else if (partialArrays.size() == MAX_ARRAY_DEPTH) {
                    throw new CorruptedFrameException("arrays are nested more than " + MAX_ARRAY_DEPTH + " deep");
                } else {
                    partialArrays.push(new PartialArray((int) length));
                }
            }
            default -> throw new CorruptedFrameException("unknown type: " + (int) type);
        }
    }

    private void addValue(RespReply value, List<Object> out) {
        RespReply completed = value;
        while (!partialArrays.isEmpty()) {
            PartialArray array = partialArrays.peek();
            array.items.add(completed);
            if (array.items.size() < array.expectedItems) {
                return;
            }
            partialArrays.pop();
            completed = new RespReply.Array(List.copyOf(array.items));
        }
        out.add(completed);
    }

    private static long checkLength(long length, int maxLength) {
        if (length < 0 || length > maxLength) {
            throw new CorruptedFrameException("invalid length: " + length);
        }
        return length;
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new CorruptedFrameException("not a number: " + text, e);
        }
    }
}
