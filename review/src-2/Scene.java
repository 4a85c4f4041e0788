package thistlefall.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The frame of a case: the record, a temporary folder, the node's processes and the exit status. All stand-ins listen on
 * 127.0.0.1 at free ports. The status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
 */
final class Scene implements AutoCloseable {
    /** Whether the disruption happens. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** A case; returns whether the rule was broken. */
    interface Play {
        boolean run(Scene scene) throws Exception;
    }

    /** A process of the node, with its configuration. */
    record Node(Process process, InetSocketAddress address, Path config, Path log) {}

    private static final long MAX_MILLIS = 115_000;
    private static final long STARTED = System.nanoTime();

    private final PrintWriter record;
    private final Path temporary;
    private final List<Node> nodes = new ArrayList<>();

    private Scene(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("review-2-");
    }

    /** Plays a case and exits; the argument is the folder of the case. */
    static void play(String[] arguments, Play play) {
        int status = 2;
        try (Scene scene = new Scene(Path.of(arguments[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(scene::killNodes));
            thread(() -> {
                pause(MAX_MILLIS);
                scene.note("the case took too long");
                Runtime.getRuntime().halt(scene.killNodes());
            });
            try {
                scene.note("trouble: " + TROUBLE);
                boolean broken = play.run(scene);
                scene.checkNodesAlive();
                scene.note(broken ? "RULE BROKEN" : "rule held");
                status = broken ? 1 : 0;
            } catch (Exception | AssertionError e) {
                scene.note("could not run: " + e);
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        System.exit(status);
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Milliseconds since the case began. */
    static long millis() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    static void pauseUntil(long millis) {
        pause(millis - millis());
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new AssertionError(what);
        }
    }

    /** Writes a line to the record and to the output. */
    synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", millis() / 1000.0, text);
        record.println(line);
        System.out.println(line);
    }

    /** Writes a line to the record only. */
    synchronized void noteQuietly(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1000.0, text));
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts a node with the {@code run} command of the deploy file and waits until it is ready. */
    Node startNode(String name, InetSocketAddress address, Discovery discovery, Counter counter, String settings,
            String known) throws Exception {
        Path config = temporary.resolve(name + ".json");
        String json = "{\"name\":\"" + name + "\",\"listen\":\"" + text(address) + "\",\"discovery\":\""
                + text(discovery.address()) + "\",\"counter\":\"" + text(counter.address()) + "\",\"seed\":\""
                + Long.toHexString(System.nanoTime()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings + "}";
        Path draft = temporary.resolve(name + ".new");
        Files.writeString(draft, json);
        Files.move(draft, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        Path log = temporary.resolve(name + ".log");
        var builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", text(address));
        builder.environment().put("EDGE_DISCOVERY", text(discovery.address()));
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Node node = new Node(builder.start(), address, config, log);
        nodes.add(node);
        note("node " + name + " started, process " + node.process().pid());
        for (long end = millis() + 30_000; millis() < end && node.process().isAlive(); pause(50)) {
            if (isReady(address)) {
                note("node " + name + " is ready");
                return node;
            }
        }
        throw new AssertionError("node " + name + " did not become ready");
    }

    private static boolean isReady(InetSocketAddress address) {
        try (Client client = new Client(address)) {
            return client.get("/health/ready", Map.of()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The {@code run} command in deploy/balancer.toml; the working folder is the root. */
    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    /** Sends a signal to a process of the node. */
    void signal(Node node, String name) throws Exception {
        note("SIG" + name + " to process " + node.process().pid());
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + node.process().pid()).start().waitFor();
    }

    private void checkNodesAlive() {
        for (Node node : nodes) {
            if (!node.process().isAlive()) {
                note("process " + node.process().pid() + " ended with status " + node.process().exitValue());
            }
        }
    }

    private int killNodes() {
        nodes.forEach(node -> node.process().destroyForcibly());
        return 2;
    }

    @Override
    public void close() throws IOException {
        killNodes();
        for (Node node : nodes) {
            try {
                node.process().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            noteQuietly("log of process " + node.process().pid() + ":");
            if (Files.exists(node.log())) {
                Files.readAllLines(node.log()).forEach(record::println);
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
