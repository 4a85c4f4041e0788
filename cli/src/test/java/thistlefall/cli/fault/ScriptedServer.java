package thistlefall.cli.fault;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import thistlefall.standin.platform.DiscoveryServer;
import thistlefall.standin.platform.PlatformEnvironment;

/**
 * An app server that accepts connections and reads from them when it is told to. What it doesn't accept or read stays
 * in the kernel, as behind a process that is too busy. It records when it read each request. Thread-safe.
 */
final class ScriptedServer implements AutoCloseable {
    /** How the server handles a request that it has read. */
    interface Script {
        /** Returns the status of the response, or {@link #NO_RESPONSE} or {@link #RESET} in place of one. */
        int handle(ReadRequest request) throws InterruptedException;
    }

    /** A status that stands for no response at all. */
    static final int NO_RESPONSE = 0;
    /** A status that stands for a reset of the connection. */
    static final int RESET = -1;

    /**
     * A request that the server has read to its last byte.
     *
     * @param key the idempotency key, or else the id
     * @param readAt the monotonic time of its last byte
     * @param heldSince when the server began to hold what it read now; {@code readAt} if it had held nothing
     * @param drainingSince when the server was listed as draining; 0 if it is not
     */
    record ReadRequest(
            ScriptedServer server,
            String path,
            String id,
            String key,
            long readAt,
            long heldSince,
            long drainingSince) {}

    /** A connection beyond the backlog and one more is dropped, and tried again by the kernel a second later. */
    private static final int BACKLOG = 1;

    private static final int READ_POLL_MILLIS = 2;
    /** What was held for a while is read within this time after that. */
    private static final long HOLD_TAIL_NANOS = 50_000_000L;

    private final String id;
    private final int cell;
    private final ServerSocket listener;
    private final Script script;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<ReadRequest> requests = new CopyOnWriteArrayList<>();
    private final Object state = new Object();
    private boolean accepting = true;
    private boolean reading = true;
    private boolean closed;
    private long drainingSince;
    private long holdBeganAt;
    private long holdEndedAt = System.nanoTime() - HOLD_TAIL_NANOS;

    ScriptedServer(String id, int cell, Script script) throws IOException {
        this.id = id;
        this.cell = cell;
        this.script = script;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        startThread(this::acceptConnections);
    }

    String id() {
        return id;
    }

    int cell() {
        return cell;
    }

    /** Sets whether it counts as draining, and returns its entry in the server list. */
    String entryAs(boolean draining) {
        synchronized (state) {
            drainingSince = draining ? System.nanoTime() : 0;
        }
        return draining ? entry().replace("\"up\"", "\"draining\"") : entry();
    }

    /** Returns its entry in the server list. */
    String entry() {
        var address = (InetSocketAddress) listener.getLocalSocketAddress();
        return DiscoveryServer.host(id, PlatformEnvironment.addressText(address), "up", 0)
                .replace("\"block\":0", "\"block\":" + cell);
    }

    /** Returns the requests that it has read, in order, without probes. */
    Collection<ReadRequest> requests() {
        return requests;
    }

    /** Stops accepting connections, or resumes that. */
    void setAccepting(boolean newAccepting) {
        change(() -> accepting = newAccepting);
    }

    /** Stops reading from connections, or resumes that. */
    void setReading(boolean newReading) {
        change(() -> reading = newReading);
    }

    private void change(Runnable change) {
        synchronized (state) {
            boolean heldBefore = !accepting || !reading;
            change.run();
            boolean held = !accepting || !reading;
            if (held && !heldBefore) {
                holdBeganAt = System.nanoTime();
            } else if (!held && heldBefore) {
                holdEndedAt = System.nanoTime();
            }
            state.notifyAll();
        }
    }

    /** Resets all its connections. */
    void resetConnections() throws IOException {
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
    }

    private void acceptConnections() throws IOException, InterruptedException {
        while (true) {
            awaitAllowed(() -> accepting);
            Socket connection = listener.accept();
            if (!isAllowed(() -> accepting)) {
                // It was waiting to accept when it was told to stop, so this connection came too early.
                awaitAllowed(() -> accepting);
            }
            connections.add(connection);
            startThread(() -> serve(connection));
        }
    }

    private boolean isAllowed(java.util.function.BooleanSupplier condition) {
        synchronized (state) {
            return condition.getAsBoolean();
        }
    }

    private void awaitAllowed(java.util.function.BooleanSupplier condition) throws InterruptedException {
        synchronized (state) {
            while (!condition.getAsBoolean() && !closed) {
                state.wait();
            }
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        connection.setSoTimeout(READ_POLL_MILLIS);
        connection.setTcpNoDelay(true);
        InputStream in = connection.getInputStream();
        while (true) {
            String head = readHead(in);
            if (head == null) {
                connection.close();
                connections.remove(connection);
                return;
            }
            String path = head.substring(head.indexOf(' ') + 1, head.indexOf(' ', head.indexOf(' ') + 1));
            for (int left = Integer.parseInt(field(head, "content-length", "0")); left > 0; left--) {
                readByte(in);
            }
            if (path.equals("/stats") || path.startsWith("/health")) {
                respond(connection, 200, "");
                continue;
            }
            String requestId = field(head, "x-trace-id", "");
            ReadRequest request = record(path, requestId, field(head, "idempotency-key", requestId));
            int status = script.handle(request);
            if (status == RESET) {
                connection.setSoLinger(true, 0);
                connection.close();
                connections.remove(connection);
                return;
            }
            if (status != NO_RESPONSE) {
                respond(connection, status, requestId);
            }
        }
    }

    private ReadRequest record(String path, String requestId, String key) {
        long now = System.nanoTime();
        synchronized (state) {
            boolean held = !accepting || !reading || now - holdEndedAt < HOLD_TAIL_NANOS;
            var request = new ReadRequest(this, path, requestId, key, now, held ? holdBeganAt : now, drainingSince);
            requests.add(request);
            return request;
        }
    }

    private String readHead(InputStream in) throws IOException, InterruptedException {
        var head = new ByteArrayOutputStream();
        while (true) {
            int next = readByte(in);
            if (next < 0) {
                return null;
            }
            head.write(next);
            if (next == '\n' && head.size() >= 4) {
                String text = head.toString(StandardCharsets.ISO_8859_1);
                if (text.endsWith("\r\n\r\n")) {
                    return text;
                }
            }
        }
    }

    private int readByte(InputStream in) throws IOException, InterruptedException {
        while (true) {
            awaitAllowed(() -> reading);
            try {
                return in.read();
            } catch (SocketTimeoutException e) {
                // Nothing has come; the server may have been told to stop reading.
            }
        }
    }

    private static String field(String head, String name, String absent) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse(absent);
    }

    private static void respond(Socket connection, int status, String body) throws IOException {
        connection
                .getOutputStream()
                .write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length()
                                + "\r\nEndpoint-Load-Metrics: TEXT inflight=1, queue=0\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A task that ends with its connection or its server. */
    private interface ConnectionTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(ConnectionTask task) {
        var thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection or the server has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        synchronized (state) {
            closed = true;
            accepting = true;
            reading = true;
            state.notifyAll();
        }
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
