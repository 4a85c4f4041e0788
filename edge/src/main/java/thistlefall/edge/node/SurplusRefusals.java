package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * The responses that refuse the surplus requests of a connection. They have no body, because a client can be owed very
 * many of them, and because without one they also suit a {@code HEAD} request.
 */
final class SurplusRefusals {
    /** Refusals of one connection that may wait for the responses before them. */
    static final int MAX_PENDING = 1_000;

    private static final String STATUS_AND_LENGTH = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
    private static final byte[] REFUSAL = ascii(STATUS_AND_LENGTH + "\r\n");
    private static final byte[] CLOSING_REFUSAL = ascii(STATUS_AND_LENGTH + "Connection: close\r\n\r\n");

    private SurplusRefusals() {}

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Encodes {@code count} refusals, at least one; the last of them may announce that the connection closes. */
    static ByteBuf encode(ByteBufAllocator allocator, int count, boolean announcesClose) {
        byte[] last = announcesClose ? CLOSING_REFUSAL : REFUSAL;
        ByteBuf out = allocator.ioBuffer((count - 1) * REFUSAL.length + last.length);
        for (int i = 1; i < count; i++) {
            out.writeBytes(REFUSAL);
        }
        return out.writeBytes(last);
    }
}
