package thistlefall.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** A connection of a client to the node; carries one request at a time. */
final class Client implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(InetSocketAddress address) throws IOException {
        this(address, TIMEOUT_MILLIS);
    }

    /** Connects; the time-out is for each read. */
    Client(InetSocketAddress address, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(address, 2_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** The head of a request with the fields that the protocol asks for. */
    static String head(String method, String target, String id, String plan, long customer, double seconds,
            double units, Map<String, String> more, int bodyLength) {
        var text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: service.internal\r\n");
        text.append("X-Trace-Id: ").append(id).append("\r\nX-Tariff: ").append(plan);
        text.append("\r\nX-Subscriber: ").append(String.format("%016x", customer));
        text.append("\r\nX-Expires-In: ").append(String.format(java.util.Locale.ROOT, "%.3f", seconds));
        text.append("\r\nX-Weight: units=").append(units).append(",spread=1,first=0\r\n");
        more.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (method.equals("POST")) {
            text.append("Content-Length: ").append(bodyLength).append("\r\n");
        }
        return text.append("\r\n").toString();
    }

    void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    /** Reads an answer; null if the connection ends without one. */
    Http.Message read() throws IOException {
        return Http.read(in);
    }

    Http.Message get(String target, Map<String, String> fields) throws IOException {
        var text = new StringBuilder("GET " + target + " HTTP/1.1\r\nHost: service.internal\r\n");
        fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        write(Http.bytes(text.append("\r\n").toString()));
        Http.Message answer = read();
        if (answer == null) {
            throw new IOException("no answer to " + target);
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
