import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line per event with the milliseconds since the start. Thread-safe. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String format, Object... values) {
        double ms = (System.nanoTime() - startedAt) / 1e6;
        out.println(String.format("%10.1f ", ms) + (values.length == 0 ? format : String.format(format, values)));
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... values) {
        String text = String.format(format, values);
        line("%s", text);
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }
}
