package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thistlefall.cli.NodeProcess;
import thistlefall.standin.platform.PlatformEnvironment;

/** A node in a process of its own, with the options of the deployment, among servers that the test scripts. */
final class NodeUnderTest implements AutoCloseable {
    /** Fewer descriptors than a process has open from its start. */
    private static final int MIN_DESCRIPTORS = 3;

    private final Path folder;
    private final Path configFile;
    private final PlatformEnvironment environment;
    private Process process;

    /** Starts a node that knows these servers; its configuration file is changed before it is read. */
    NodeUnderTest(Path folder, List<ScriptedServer> servers, UnaryOperator<String> configChange) throws Exception {
        this(folder, new PlatformEnvironment(0), configChange);
        environment
                .discovery()
                .sendFullList(servers.stream().map(ScriptedServer::entry).toList());
        start();
    }

    private NodeUnderTest(Path folder, PlatformEnvironment environment, UnaryOperator<String> configChange)
            throws IOException {
        this.folder = folder;
        this.environment = environment;
        configFile = folder.resolve("config.json");
        environment.configure(configFile);
        Files.writeString(configFile, configChange.apply(Files.readString(configFile)));
    }

    /** Starts a node that knows emulated servers, each of which takes the same time for every request. */
    static NodeUnderTest amongEmulatedServers(Path folder, int servers, int delayMillis) throws IOException {
        return amongEmulatedServers(folder, servers, delayMillis, config -> config);
    }

    /** As above; the node's configuration file is changed before it is read. */
    static NodeUnderTest amongEmulatedServers(
            Path folder, int servers, int delayMillis, UnaryOperator<String> configChange) throws IOException {
        var environment = new PlatformEnvironment(servers);
        for (int i = 0; i < servers; i++) {
            environment.server(i).setResponseDelayMillis(delayMillis);
        }
        var node = new NodeUnderTest(folder, environment, configChange);
        node.start();
        return node;
    }

    /** Starts the process, or the next one at the same address, and waits until it is ready. */
    void start() throws IOException {
        process = NodeProcess.start(folder, configFile.toString(), List.of("@../deploy/platform.options"));
        NodeProcess.awaitCondition(() -> isReady() || !process.isAlive());
        assertTrue(process.isAlive(), this::log);
    }

    InetSocketAddress address() {
        return environment.node();
    }

    Process process() {
        return process;
    }

    String log() {
        return NodeProcess.readLog(folder);
    }

    /** Returns a count from the node's last log line of counts. */
    long loggedCount(String name) {
        Matcher count = Pattern.compile("\\b" + name + "=(\\d+)").matcher(log());
        long last = 0;
        while (count.find()) {
            last = Long.parseLong(count.group(1));
        }
        return last;
    }

    /** Sends a signal to the process, which may end meanwhile. */
    void signal(String name) throws Exception {
        int status = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (status != 0) {
            NodeProcess.awaitCondition(() -> !process.isAlive());
        }
    }

    /** Has discovery send a change of the server list. */
    void changeServers(String... entries) {
        environment.discovery().sendDelta(List.of(entries));
    }

    /** Lets the process open no further descriptor, or as many as before; what it has open stays open. */
    void setDescriptorsExhausted(boolean exhausted) throws Exception {
        String softLimit =
                exhausted ? Integer.toString(MIN_DESCRIPTORS) : "unlimited".equals(hardLimit()) ? "4096" : hardLimit();
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + softLimit + ":")
                        .start()
                        .waitFor());
    }

    private String hardLimit() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "limits")).stream()
                .filter(line -> line.startsWith("Max open files"))
                .map(line -> line.split("\\s+")[4])
                .findFirst()
                .orElseThrow();
    }

    /** Has all threads of the process run on one core. */
    void holdToCore(int core) throws Exception {
        String[] command = {"taskset", "-a", "-c", "-p", Integer.toString(core), Long.toString(process.pid())};
        assertEquals(
                0,
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor());
    }

    /** Stops the process, as the machine may at any moment, and returns once it has stopped. */
    void holdUp() throws Exception {
        signal("STOP");
        NodeProcess.awaitCondition(this::isStopped);
    }

    void resume() throws Exception {
        signal("CONT");
    }

    private boolean isStopped() {
        if (!process.isAlive()) {
            return true;
        }
        try {
            return Files.readString(Path.of("/proc", Long.toString(process.pid()), "status"))
                    .contains("State:\tT");
        } catch (IOException e) {
            return !process.isAlive();
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket(address().getAddress(), address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(FaultClient.READINESS.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends the process as an operator would, and waits until it has ended. */
    void stop() throws Exception {
        signal("TERM");
        process.waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        environment.close();
    }
}
