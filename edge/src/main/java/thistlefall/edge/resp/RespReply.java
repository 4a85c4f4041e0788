package thistlefall.edge.resp;

import java.util.List;

/** A RESP2 value. */
public sealed interface RespReply {
    /** A simple string, such as OK or QUEUED. */
    record Simple(String text) implements RespReply {}

    /** An error. */
    record Error(String text) implements RespReply {}

    /** An integer. */
    record Int(long value) implements RespReply {}

    /** A bulk string; {@code bytes} is null for the null bulk string. */
    record Bulk(byte[] bytes) implements RespReply {
        /** The string as UTF-8 text; null for the null bulk string. */
        public String text() {
            return bytes == null ? null : new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /** An array; {@code items} is null for the null array. */
    record Array(List<RespReply> items) implements RespReply {}
}
