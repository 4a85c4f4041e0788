import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An edge node as a process of its own, started by the {@code run} line of deploy/balancer.toml. */
final class Node implements AutoCloseable {
    private final Path root;
    private final Path folder;
    private final Path config;
    private final Path log;
    private final Record record;
    private final int port;
    private final Process signalShell;
    private Process process;

    Node(Path root, Path folder, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
        config = folder.resolve("config.json");
        log = folder.resolve("node.log");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        // One shell for all signals: its built-in kill takes effect at once, a new process would take milliseconds.
        signalShell = new ProcessBuilder("bash", "-c", "while read -r name pid; do kill -\"$name\" \"$pid\"; done")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    String listen() {
        return "127.0.0.1:" + port;
    }

    /** Writes the configuration file, replacing it as a whole. */
    void configure(String json) throws IOException {
        Path next = Files.writeString(folder.resolve("config.next"), json);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process with the command of the deploy file. */
    void start(String discovery) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("EDGE_NAME", "n0");
        builder.environment().put("EDGE_LISTEN", listen());
        builder.environment().put("EDGE_DISCOVERY", discovery);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        record.line("node started, process %d", process.pid());
    }

    /** Waits until {@code GET /health/ready} answers 200. */
    void awaitReady() throws IOException {
        for (int i = 0; i < 300 && process.isAlive(); i++) {
            try (Socket socket = new Socket()) {
                socket.connect(address(), 200);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(Http.bytes("GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
                Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
                if (answer != null && answer.status() == 200) {
                    record.line("node ready");
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Standin.sleep(100);
        }
        throw new IOException("the node did not become ready");
    }

    /** Sends a signal to the node's process. */
    void signal(String name) throws IOException {
        OutputStream out = signalShell.getOutputStream();
        out.write(Http.bytes(name + " " + process.pid() + "\n"));
        out.flush();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int waitFor() throws InterruptedException {
        return process.waitFor();
    }

    Path log() {
        return log;
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        signalShell.destroyForcibly();
    }
}
