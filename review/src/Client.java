import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one kept connection, which sends one request at a time (PROTOCOL.md, "Clients to edge nodes"). */
final class Client implements AutoCloseable {
    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() << 8);

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;

    Client(InetSocketAddress address) {
        this.address = address;
    }

    static String newId() {
        return String.format("%016x", NEXT_ID.getAndIncrement());
    }

    /** The bytes of a request of a class, with the body of a POST. */
    static byte[] request(String requestClass, String id, long customer, double expiresIn, String body) {
        boolean get = requestClass.equals("slot-lookup");
        return Http.bytes((get ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Trace-Id: " + id + "\r\nX-Tariff: corridor\r\nX-Subscriber: " + String.format("%016x", customer)
                + "\r\nX-Expires-In: " + String.format("%.3f", expiresIn)
                + "\r\nX-Weight: units=1,spread=1,first=0\r\n"
                + (requestClass.equals("gate-booking") ? "Idempotency-Key: k" + id + "\r\n" : "")
                + (get ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n" + (get ? "" : body));
    }

    /** Sends a request and reads its answer; null if the connection ended without one. */
    Http.Message exchange(byte[] request, double timeoutSeconds) throws IOException {
        if (socket == null) {
            Socket connecting = new Socket();
            try {
                connecting.connect(address, 1_000);
            } catch (IOException e) {
                Standin.closeQuietly(connecting);
                throw e;
            }
            socket = connecting;
            socket.setTcpNoDelay(true);
            in = Http.buffered(socket.getInputStream());
        }
        socket.setSoTimeout((int) (timeoutSeconds * 1000));
        Socket used = socket;
        try {
            used.getOutputStream().write(request);
            Http.Message answer = Http.read(in);
            if (answer == null || answer.field("connection").equalsIgnoreCase("close")) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            Standin.closeQuietly(socket);
            socket = null;
        }
    }
}
