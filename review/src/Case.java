import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases have: the folder, the record, stand-ins, one node, and the exit status 0, 1 or 2. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Record record;
    final Path folder;
    final Discovery discovery;
    final Counter counter;
    final Node node;
    final List<AppServer> servers = new ArrayList<>();

    /** The number of breaks of the rule. */
    private int breaks;

    Case(String caseFolder) throws IOException {
        record = new Record(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review");
        discovery = new Discovery(record);
        discovery.start();
        counter = new Counter();
        counter.start();
        node = new Node(root, folder, record);
    }

    /** Adds an app server to the first list. */
    void add(AppServer server, int cell) {
        server.start();
        servers.add(server);
        discovery.put(server.id, Discovery.entry(server.id, server.address(), "hall-a", cell, "up", 0));
    }

    /** Writes the configuration with a list as the one that the node had last. */
    void configure(String lastList) throws IOException {
        node.configure(Config.json(node.listen(), discovery.address(), counter.address(), lastList));
    }

    /** Starts the node with the list as it is and waits until it is ready. */
    void startNode() throws IOException {
        configure(discovery.wholeList());
        node.start(discovery.address());
        node.awaitReady();
    }

    /** Reports a break of the rule. */
    synchronized void broken(String format, Object... values) {
        if (++breaks <= 20) {
            record.say("BROKEN: " + format, values);
        } else {
            record.line("BROKEN: " + format, values);
        }
    }

    synchronized int breaks() {
        return breaks;
    }

    /** Plays the case; breaks are reported by {@link #broken}. */
    abstract void play() throws Exception;

    static void main(Case theCase) {
        int status;
        try {
            theCase.record.line("trouble: %s", theCase.trouble);
            theCase.play();
            status = theCase.breaks() > 0 ? 1 : 0;
            theCase.record.say(
                    status == 0 ? "the rule held" : "the rule was broken %d times", theCase.breaks());
        } catch (Exception e) {
            theCase.record.say("the case could not run: %s", e);
            status = 2;
        }
        theCase.end();
        System.exit(status);
    }

    private void end() {
        node.close();
        servers.forEach(AppServer::close);
        discovery.close();
        counter.close();
        try {
            if (Files.exists(node.log())) {
                record.line("log of the node:");
                Files.readAllLines(node.log()).forEach(line -> record.line("  %s", line));
            }
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.deleteIfExists(file);
                }
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            record.line("not removed: %s", e);
        }
        record.close();
    }
}
