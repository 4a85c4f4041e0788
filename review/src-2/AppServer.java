package thistlefall.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** An app server: a thread for each connection; what it does with a request is a script of the case. */
final class AppServer {
    /** Handles a complete request on a server and returns the answer; it may take its time. */
    interface Script {
        Answer handle(AppServer server, Http.Message request) throws IOException;
    }

    /** A status and a body, with further fields that each end in CRLF. */
    record Answer(int status, String body, String fields) {}

    private final String name;
    private final ServerSocket listener;
    private final Script script;

    /** Listens at a free port with the given backlog, and accepts connections once {@link #accept} is called. */
    AppServer(String name, int backlog, Script script) throws IOException {
        this.name = name;
        this.script = script;
        listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    String name() {
        return name;
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** The entry of the list of servers, in the form of discovery. */
    String entry(String site, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + Scene.text(address()) + "\",\"site\":\"" + site
                + "\",\"class\":\"m\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Accepts connections from now on. */
    AppServer accept() {
        Scene.thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Scene.thread(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return this;
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                Answer answer = request.target().startsWith("/health") || request.target().startsWith("/stats")
                        ? new Answer(200, "", "")
                        : script.handle(this, request);
                byte[] body = Http.bytes(answer.body());
                String length = answer.fields().contains("Content-Length") ? "" : "Content-Length: " + body.length + "\r\n";
                out.write(Http.bytes("HTTP/1.1 " + answer.status() + " X\r\n" + answer.fields() + length + "\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException e) {
            // The node has ended the connection.
        }
    }
}
