package thistlefall.cli.fault;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client with one connection to a node. */
final class FaultClient implements AutoCloseable {
    /** Asks whether the node is ready. */
    static final String READINESS = "GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

    private static final Pattern CONTENT_LENGTH = Pattern.compile("Content-Length: (\\d+)");

    private static final int MAX_WAIT_MILLIS = 10_000;

    private final Socket socket;
    private String lastResponse = "";

    FaultClient(InetSocketAddress node) throws IOException {
        socket = new Socket(node.getAddress(), node.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(MAX_WAIT_MILLIS);
    }

    private static String head(String requestLine, String id, double seconds) {
        return requestLine + " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id
                + "\r\nX-Tariff: corridor\r\nX-Subscriber: 0000000000000007\r\nX-Expires-In: "
                + String.format(java.util.Locale.ROOT, "%.3f", seconds) + "\r\nX-Weight: units=1,spread=2,first=0\r\n";
    }

    /** A request that may be repeated. */
    static String lookup(String id, double seconds) {
        return head("GET /lookup", id, seconds) + "\r\n";
    }

    /** A request with a key. */
    static String booking(String id, double seconds) {
        return head("POST /booking", id, seconds) + "Idempotency-Key: key-" + id + "\r\nContent-Length: 2\r\n\r\n{}";
    }

    /** A request that must not run twice. */
    static String payment(String id, double seconds) {
        return head("POST /payment", id, seconds) + "Content-Length: 2\r\n\r\n{}";
    }

    FaultClient write(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    void setMaxWait(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Reads a response and returns its status; 0 if the connection ends before its last byte. */
    int readStatus() throws IOException {
        lastResponse = "";
        var head = new ByteArrayOutputStream();
        String text = "";
        while (!text.endsWith("\r\n\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return 0;
            }
            head.write(next);
            text = next == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
        }
        lastResponse = text;
        Matcher length = CONTENT_LENGTH.matcher(text);
        int bodyBytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
        byte[] body = socket.getInputStream().readNBytes(bodyBytes);
        lastResponse += new String(body, StandardCharsets.ISO_8859_1);
        return body.length == bodyBytes ? Integer.parseInt(text.substring(9, 12)) : 0;
    }

    /** Returns what was received of the last response, head and body. */
    String lastResponse() {
        return lastResponse;
    }

    /** Returns whether the last response has announced that the node closes the connection. */
    boolean announcedClose() {
        return lastResponse.contains("Connection: close");
    }

    /** Closes the connection by a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
