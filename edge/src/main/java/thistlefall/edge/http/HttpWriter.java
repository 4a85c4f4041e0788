package thistlefall.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Writes message heads, body pieces and chunks. */
public final class HttpWriter {
    /** Fields that apply to one connection and are never forwarded (RFC 9110 section 7.6.1). */
    private static final String[] HOP_BY_HOP_NAMES = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "proxy-authorization",
        "proxy-authenticate"
    };

    private static final Set<String> HOP_BY_HOP = Set.of(HOP_BY_HOP_NAMES);
    private static final byte[] VERSION_AND_LINE_END = ascii(" HTTP/1.1\r\n");
    private static final byte[] TRANSFER_ENCODING_CHUNKED = ascii("Transfer-Encoding: chunked\r\n");
    private static final byte[] CONTENT_LENGTH_PREFIX = ascii("Content-Length: ");
    private static final byte[] CONNECTION_CLOSE = ascii("Connection: close\r\n");
    private static final ByteBuf LAST_CHUNK = Unpooled.unreleasableBuffer(
                    Unpooled.directBuffer(5).writeBytes(ascii("0\r\n\r\n")))
            .asReadOnly();
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(201, "Created"),
            Map.entry(202, "Accepted"),
            Map.entry(204, "No Content"),
            Map.entry(304, "Not Modified"),
            Map.entry(400, "Bad Request"),
            Map.entry(401, "Unauthorized"),
            Map.entry(403, "Forbidden"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(414, "URI Too Long"),
            Map.entry(429, "Too Many Requests"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(501, "Not Implemented"),
            Map.entry(502, "Bad Gateway"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"),
            Map.entry(505, "HTTP Version Not Supported"));

    private HttpWriter() {}

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Whether a field, by its name in lower case, is end-to-end and may be forwarded. */
    public static boolean isEndToEnd(String lowerName) {
        return !HOP_BY_HOP.contains(lowerName);
    }

    /** The hop-by-hop field names plus these names, all in lower case. */
    public static FieldNameSet hopByHopNamesAnd(String... lowerNames) {
        return FieldNameSet.of(Stream.concat(Arrays.stream(HOP_BY_HOP_NAMES), Arrays.stream(lowerNames))
                .toArray(String[]::new));
    }

    /** Begins a request: allocates a buffer with the request line. */
    public static ByteBuf beginRequest(ByteBufAllocator alloc, String method, String target) {
        ByteBuf out = alloc.ioBuffer(512);
        ByteBufUtil.writeAscii(out, method);
        out.writeByte(' ');
        ByteBufUtil.writeAscii(out, target);
        return out.writeBytes(VERSION_AND_LINE_END);
    }

    /** Begins a response: allocates a buffer with the status line. */
    public static ByteBuf beginResponse(ByteBufAllocator alloc, int status) {
        ByteBuf out = alloc.ioBuffer(512);
        ByteBufUtil.writeAscii(out, "HTTP/1.1 ");
        writeNumber(out, status);
        out.writeByte(' ');
        ByteBufUtil.writeAscii(out, REASON_PHRASES.getOrDefault(status, ""));
        return out.writeShort('\r' << 8 | '\n');
    }

    /** Adds a field line. The value must not contain a line break. */
    public static ByteBuf writeField(ByteBuf out, String name, String value) {
        if (value.indexOf('\r') >= 0 || value.indexOf('\n') >= 0) {
            throw new IllegalArgumentException("line break in the value of " + name);
        }
        ByteBufUtil.writeAscii(out, name);
        out.writeShort(':' << 8 | ' ');
        out.writeCharSequence(value, StandardCharsets.ISO_8859_1);
        return out.writeShort('\r' << 8 | '\n');
    }

    /**
     * Adds the field that the framing needs. Without a body, adds {@code Content-Length: 0} only if {@code
     * writeZeroLength} is set.
     */
    public static ByteBuf writeFraming(ByteBuf out, Framing framing, boolean writeZeroLength) {
        switch (framing.kind()) {
            case CHUNKED -> out.writeBytes(TRANSFER_ENCODING_CHUNKED);
            case LENGTH -> writeContentLength(out, framing.length());
            case NONE -> {
                if (writeZeroLength) {
                    writeContentLength(out, 0);
                }
            }
            case CLOSE -> writeConnectionClose(out);
        }
        return out;
    }

    /** Adds a Content-Length field. */
    public static ByteBuf writeContentLength(ByteBuf out, long length) {
        out.writeBytes(CONTENT_LENGTH_PREFIX);
        writeNumber(out, length);
        return out.writeShort('\r' << 8 | '\n');
    }

    /** Adds {@code Connection: close}: the connection ends after this message. */
    public static ByteBuf writeConnectionClose(ByteBuf out) {
        return out.writeBytes(CONNECTION_CLOSE);
    }

    /** Ends a head. */
    public static ByteBuf endHead(ByteBuf out) {
        return out.writeShort('\r' << 8 | '\n');
    }

    /** Writes and flushes a piece of a body, as one chunk if the body is chunked. */
    public static void writeBodyPiece(Channel channel, ByteBuf piece, boolean chunked) {
        if (chunked && piece.isReadable()) {
            ByteBuf size = channel.alloc().ioBuffer(12);
            ByteBufUtil.writeAscii(size, Integer.toHexString(piece.readableBytes()));
            channel.write(endHead(size));
            channel.write(piece);
            channel.writeAndFlush(endHead(channel.alloc().ioBuffer(2)));
        } else {
            channel.writeAndFlush(piece);
        }
    }

    /** The last chunk and the end-to-end trailer fields. */
    public static ByteBuf createLastChunk(ByteBufAllocator alloc, HttpFields trailers) {
        if (trailers.size() == 0) {
            return LAST_CHUNK.duplicate();
        }
        ByteBuf out = alloc.ioBuffer(256);
        ByteBufUtil.writeAscii(out, "0\r\n");
        trailers.writeTo(out, HttpWriter::isEndToEnd);
        return endHead(out);
    }

    private static void writeNumber(ByteBuf out, long value) {
        ByteBufUtil.writeAscii(out, Long.toString(value));
    }
}
