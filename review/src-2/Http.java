package thistlefall.review2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages with a length or chunks. */
final class Http {
    private Http() {}

    /** A message: its start line, its fields by lower-case name, and its body. */
    record Message(String startLine, Map<String, String> fields, byte[] body) {
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

    /** Reads a message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        if (fields.getOrDefault("transfer-encoding", "").equals("chunked")) {
            var body = new java.io.ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            return new Message(startLine, fields, body.toByteArray());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        return new Message(startLine, fields, readFully(in, length));
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).strip(), 16);
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            line.append((char) b);
        }
        return line.substring(0, Math.max(0, line.length() - 1));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
