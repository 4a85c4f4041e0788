import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a free loopback port with one thread per connection. */
abstract class Standin implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Standin() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
    }

    /** Starts accepting connections. */
    final void start() {
        thread(() -> {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread(() -> run(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void run(Socket socket) {
        try (socket) {
            serve(socket, Http.buffered(socket.getInputStream()), socket.getOutputStream());
        } catch (IOException e) {
            // The peer has closed or reset the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Serves one connection until it ends. */
    abstract void serve(Socket socket, InputStream in, OutputStream out) throws IOException;

    /** The address, as the platform's files write it. */
    final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Closes all open connections; new ones are still accepted. */
    final void disconnectAll() {
        sockets.forEach(Standin::closeQuietly);
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // It is not needed any more.
        }
        disconnectAll();
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is not needed any more.
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) ms, (int) (ms * 1e6 % 1e6));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
