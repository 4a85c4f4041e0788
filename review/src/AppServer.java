import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** An app server (PROTOCOL.md, "Edge nodes to app servers"). A request begins when its last byte has come. */
class AppServer extends Standin {
    final String id;
    final Record record;

    AppServer(String id, Record record) throws IOException {
        this.id = id;
        this.record = record;
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            if (request.target().equals("/stats")) {
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=1, queue=0\r\n"
                        + "Content-Length: 0\r\n\r\n"));
                continue;
            }
            handle(socket, request, out);
        }
    }

    /** Runs one request and answers it. */
    void handle(Socket socket, Http.Message request, OutputStream out) throws IOException {
        out.write(answer(request));
    }

    /** The good answer to a request: a body that names the request. */
    static byte[] answer(Http.Message request) {
        String body = body(request.field("x-trace-id"));
        return Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-True-Cost: 1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    static String body(String requestId) {
        return "slot for " + requestId;
    }
}
