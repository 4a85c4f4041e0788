import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The discovery agent on the node's machine (PROTOCOL.md, "Discovery"): the list, and watches that bring first what has
 * changed after the version that they name, then each change as it comes, and an empty line every 2 s.
 */
final class Discovery extends Standin {
    private record Change(long version, String entry) {}

    private final Record record;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final long firstVersion = 41;
    private long version = firstVersion;
    /** How many of the next watches end instead of telling anything. */
    final AtomicInteger watchesToEnd = new AtomicInteger();

    Discovery(Record record) throws IOException {
        this.record = record;
    }

    /** An entry of the list. */
    static String entry(String id, String dial, String site, int cell, String health, long bornMs) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site
                + "\",\"class\":\"type-1\",\"block\":" + cell + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    static String list(long version, boolean whole, Iterable<String> hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Sets an entry of the first list, before the node starts. */
    synchronized void put(String id, String entry) {
        entries.put(id, entry);
    }

    /** The whole list as it is now, with its version. */
    synchronized String wholeList() {
        return list(version, true, entries.values());
    }

    /** Changes an entry; open watches bring it at once. */
    synchronized void change(String id, String entry) {
        entries.put(id, entry);
        changes.add(new Change(++version, entry));
        record.line("discovery has version %d: %s", version, entry);
        notifyAll();
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            if (!request.target().contains("watch=1")) {
                byte[] body = Http.bytes(wholeList());
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                continue;
            }
            record.line("watch opened: %s", request.target());
            if (watchesToEnd.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                out.write(Http.bytes(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n"));
                record.line("watch ended instead of telling");
                return;
            }
            watch(request.target(), out);
        }
    }

    private void watch(String target, OutputStream out) throws IOException {
        int from = target.indexOf("from=");
        long told = from < 0 ? -1 : Long.parseLong(target.substring(from + 5));
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        boolean first = true;
        while (true) {
            String text;
            synchronized (this) {
                if (!first && told == version) {
                    try {
                        wait(2_000);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (first && (told < firstVersion || told > version)) {
                    text = wholeList();
                } else if (first || told < version) {
                    long after = told;
                    text = list(
                            version,
                            false,
                            changes.stream().filter(change -> change.version > after).map(Change::entry).toList());
                } else {
                    text = "";
                }
                told = version;
                first = false;
            }
            if (!text.isEmpty()) {
                record.line("told: %s", text);
            }
            out.write(Http.bytes(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n"));
        }
    }
}
