package thistlefall.cli.fault;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send without a pause and read all that comes; one whose connection ends opens the next. */
final class Flood implements AutoCloseable {
    /** A client whose connection is refused tries again after this time. */
    private static final int RETRY_MILLIS = 5;

    private final InetSocketAddress node;
    private final FloodKind kind;
    private final AtomicLong nextNumber = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Thread> writers = new ArrayList<>();
    private volatile boolean stopped;

    Flood(InetSocketAddress node, FloodKind kind, int clients) {
        this.node = node;
        this.kind = kind;
        for (int i = 0; i < clients; i++) {
            var writer = new Thread(this::writeUntilStopped, "flood-" + i);
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
    }

    private void writeUntilStopped() {
        while (!stopped) {
            try (var socket = new Socket(node.getAddress(), node.getPort())) {
                sockets.add(socket);
                if (kind.connectsForEachRequest()) {
                    write(socket);
                    if (!kind.leaves()) {
                        socket.setSoTimeout(kind == FloodKind.HALF_REQUESTS ? RETRY_MILLIS : 0);
                        socket.getInputStream().read(new byte[1024]);
                    }
                } else {
                    writeOn(socket);
                }
                sockets.remove(socket);
            } catch (IOException e) {
                pauseAfterFailure();
            }
        }
    }

    private void writeOn(Socket socket) throws IOException {
        var reader = new Thread(() -> readToTheEnd(socket));
        reader.setDaemon(true);
        reader.start();
        socket.getOutputStream().write(kind.beginning().getBytes(StandardCharsets.ISO_8859_1));
        while (!stopped) {
            write(socket);
        }
    }

    private void write(Socket socket) throws IOException {
        String text = kind.text(nextNumber.getAndAdd(1_000));
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void readToTheEnd(Socket socket) {
        byte[] buffer = new byte[64 * 1024];
        try (socket) {
            InputStream in = socket.getInputStream();
            while (in.read(buffer) >= 0) {
                // What the node answers does not matter here.
            }
        } catch (IOException e) {
            // The node has ended the connection, or the flood has.
        }
    }

    private void pauseAfterFailure() {
        try {
            Thread.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        for (Socket socket : sockets) {
            socket.close();
        }
        try {
            for (Thread writer : writers) {
                writer.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
