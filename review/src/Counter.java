import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The counter (PROTOCOL.md, "The counter"): lines of text, {@code incr NAME AMOUNT LIFE}. Names do not end here. */
final class Counter extends Standin {
    private final Map<String, Double> totals = new HashMap<>();

    Counter() throws IOException {}

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b != '\n') {
                line.append((char) b);
                continue;
            }
            out.write(Http.bytes(answer(line.toString().strip().split(" ")) + "\r\n"));
            line.setLength(0);
        }
    }

    private synchronized String answer(String[] words) {
        if (words.length == 1 && words[0].equals("ping")) {
            return "pong";
        }
        if (words.length != 4 || !words[0].equals("incr")) {
            return "error";
        }
        double total = totals.merge(words[1], Double.parseDouble(words[2]), Double::sum);
        return "ok " + String.format(Locale.ROOT, "%.6f", total);
    }
}
