package thistlefall.edge.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes RESP2 commands and replies. */
public final class RespWriter {
    private RespWriter() {}

    /** Writes a command as an array of bulk strings. */
    public static void writeCommand(ByteBuf out, String... arguments) {
        writeLine(out, '*', Integer.toString(arguments.length));
        for (String argument : arguments) {
            writeBulkString(out, argument);
        }
    }

    /** Writes a bulk string; the null bulk string for null. */
    public static void writeBulkString(ByteBuf out, String text) {
        if (text == null) {
            writeLine(out, '$', "-1");
            return;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeLine(out, '$', Integer.toString(bytes.length));
        out.writeBytes(bytes).writeShort('\r' << 8 | '\n');
    }

    /** Writes a line with its type. */
    public static void writeLine(ByteBuf out, char type, String text) {
        out.writeByte(type);
        ByteBufUtil.writeUtf8(out, text);
        out.writeShort('\r' << 8 | '\n');
    }
}
