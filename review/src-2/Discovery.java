package thistlefall.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The discovery agent: whole lists and watches, with an empty line every 2 s while nothing changes. */
final class Discovery {
    private static final long HEARTBEAT_MILLIS = 2_000;

    private final Scene scene;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** The entry that changed with each version above {@link #FIRST_VERSION}. */
    private final List<String> changes = new ArrayList<>();
    private volatile long answerDelayMillis;
    private static final int FIRST_VERSION = 41;

    Discovery(Scene scene) throws IOException {
        this.scene = scene;
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

    /** How long the agent takes from a call to the first byte of its answer. */
    void setAnswerDelay(long millis) {
        answerDelayMillis = millis;
    }

    /** Sets an entry of the first version of the list. */
    synchronized Discovery with(String name, String entry) {
        entries.put(name, entry);
        return this;
    }

    /** Changes an entry. */
    synchronized void change(String name, String entry) {
        entries.put(name, entry);
        changes.add(entry);
        scene.note("discovery has version " + version() + ": " + entry);
        notifyAll();
    }

    private synchronized int version() {
        return FIRST_VERSION + changes.size();
    }

    /** The whole list. */
    synchronized String list() {
        return object(true, List.copyOf(entries.values()));
    }

    private String object(boolean whole, List<String> hosts) {
        return "{\"seq\":" + version() + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message call = Http.read(in);
            if (call == null) {
                return;
            }
            String target = call.target();
            scene.noteQuietly("discovery called: " + target);
            Scene.pause(answerDelayMillis);
            if (!target.contains("watch=1")) {
                byte[] body = Http.bytes(list());
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
                return;
            }
            int from = target.contains("from=") ? Integer.parseInt(target.replaceAll(".*from=(\\d+).*", "$1")) : 0;
            watch(out, from);
        } catch (IOException e) {
            scene.noteQuietly("discovery: the node ended a call");
        }
    }

    private void watch(OutputStream out, int from) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int sent = from;
        boolean first = true;
        while (true) {
            String line;
            synchronized (this) {
                if (!first && sent == version()) {
                    try {
                        wait(HEARTBEAT_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                boolean known = sent >= FIRST_VERSION && sent <= version();
                line = !first && sent == version()
                        ? ""
                        : known ? object(false, changes.subList(sent - FIRST_VERSION, changes.size())) : list();
                sent = version();
                first = false;
            }
            out.write(Http.bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
            out.flush();
            scene.noteQuietly("discovery wrote: " + line);
        }
    }
}
