import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages with Content-Length or no body, as far as the stand-ins need it. */
final class Http {
    /** A message; {@code startLine} is the request line or the status line, field names are in lower case. */
    record Message(String startLine, Map<String, String> fields, String body) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }
    }

    private Http() {}

    /** Reads one message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(startLine, fields, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
