package thistlefall.review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** The shared counter; a name is forgotten when its life is over. */
final class Counter {
    private record Total(BigDecimal value, long endsAt) {}

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Map<String, Total> totals = new HashMap<>();

    Counter() throws IOException {
        Scene.thread(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Scene.thread(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(Http.bytes(evaluate(line.split(" ")) + "\r\n"));
                out.flush();
            }
        } catch (IOException e) {
            // The node has ended the connection.
        }
    }

    private synchronized String evaluate(String[] words) {
        if (words.length == 1 && words[0].equals("ping")) {
            return "pong";
        }
        if (words.length != 4 || !words[0].equals("incr")) {
            return "error";
        }
        Total old = totals.get(words[1]);
        if (old == null || old.endsAt() < Scene.millis()) {
            old = new Total(BigDecimal.ZERO, Scene.millis() + Math.min(60_000, Long.parseLong(words[3])));
        }
        Total total = new Total(old.value().add(new BigDecimal(words[2])), old.endsAt());
        totals.put(words[1], total);
        return "ok " + total.value().toPlainString();
    }
}
