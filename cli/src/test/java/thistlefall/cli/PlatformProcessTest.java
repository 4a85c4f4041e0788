package thistlefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.cli.NodeProcess.awaitCondition;
import static thistlefall.cli.NodeProcess.sendSignal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistlefall.standin.platform.DiscoveryServer;
import thistlefall.standin.platform.PlatformCounterServer;
import thistlefall.standin.platform.PlatformEnvironment;

/** Runs a platform node as a process: its start, its handling of signals, and its exit. */
class PlatformProcessTest {
    @TempDir
    Path folder;

    private Process startProcess(String config) throws IOException {
        return NodeProcess.start(
                folder,
                config,
                List.of(
                        "-XX:+UseSerialGC",
                        "-Xmx40m",
                        "-XX:TieredStopAtLevel=1",
                        "-Dslf4j.provider=thistlefall.platform.log.PlainLogs"));
    }

    private String readLog() {
        return NodeProcess.readLog(folder);
    }

    private static String exchange(PlatformEnvironment environment, String request) {
        try (Socket socket =
                new Socket(environment.node().getAddress(), environment.node().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = new byte[4096];
            int length = socket.getInputStream().read(bytes);
            return length < 0 ? "" : new String(bytes, 0, length, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    private static String payment(int number) {
        return "POST /payment HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + String.format("%016x", number)
                + "\r\nX-Tariff: corridor\r\nX-Subscriber: 0000000000000007\r\nX-Expires-In: 4.000\r\n"
                + "X-Weight: units=1,spread=2,first=0\r\nContent-Length: 2\r\n\r\n{}";
    }

    /**
     * Guards against requests lost in a reload or a stop: the node must serve across a valid and an invalid
     * configuration, and must complete the request that is pending when SIGTERM arrives.
     */
    @Test
    void servesAcrossReloadsAndCompletesPendingRequestOnStop() throws Exception {
        Path file = folder.resolve("config.json");
        try (var environment = new PlatformEnvironment(2)) {
            environment.configure(file);
            Process process = startProcess(file.toString());
            awaitCondition(() -> exchange(environment, "GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                    .startsWith("HTTP/1.1 200"));
            var nextNumber = new AtomicInteger();
            var discovery = new DiscoveryServer(environment.loop());
            discovery.listen("127.0.0.1", 0);
            discovery.sendFullList(environment.hostEntries());
            var counter = new PlatformCounterServer(environment.loop(), new ConcurrentHashMap<>());
            InetSocketAddress counterAddress = counter.listen();
            environment.configure(file, discovery.address(), counterAddress);
            sendSignal(process, "HUP");
            awaitCondition(() -> {
                assertTrue(
                        exchange(environment, payment(nextNumber.getAndIncrement()))
                                .startsWith("HTTP/1.1 200"),
                        this::readLog);
                return discovery.openWatchCount() == 1 && counter.callCount() > 0;
            });
            Files.writeString(file, "{\"half\": ");
            sendSignal(process, "HUP");
            awaitCondition(() -> readLog().contains("configuration left as it was: " + file));
            assertTrue(
                    exchange(environment, payment(nextNumber.getAndIncrement())).startsWith("HTTP/1.1 200"),
                    this::readLog);

            environment.server(0).setResponseDelayMillis(1_500);
            environment.server(1).setResponseDelayMillis(1_500);
            var lastResponse = new ConcurrentHashMap<String, String>();
            var lastRequestThread = new Thread(
                    () -> lastResponse.put("answer", exchange(environment, payment(nextNumber.getAndIncrement()))));
            int requestsBefore = environment.server(0).receivedRequestIds().size()
                    + environment.server(1).receivedRequestIds().size();
            lastRequestThread.start();
            awaitCondition(() -> environment.server(0).receivedRequestIds().size()
                            + environment.server(1).receivedRequestIds().size()
                    > requestsBefore);
            sendSignal(process, "TERM");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), this::readLog);
            lastRequestThread.join(20_000);
            assertEquals(0, process.exitValue(), this::readLog);
            assertTrue(lastResponse.get("answer").startsWith("HTTP/1.1 200"), lastResponse + readLog());
            assertTrue(lastResponse.get("answer").contains("Connection: close"), lastResponse.toString());
            discovery.kill();
            counter.close();
        }
    }

    /** Guards against a SIGTERM that is lost because it arrives while the node still reads its configuration. */
    @Test
    void sigtermDuringStartupEndsTheProcess() throws Exception {
        Path pipe = folder.resolve("config.pipe");
        Path file = folder.resolve("config.json");
        try (var environment = new PlatformEnvironment(1)) {
            environment.configure(file);
            assertEquals(
                    0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
            Process process = startProcess(pipe.toString());
            // The pipe opens once the process reads it. Its signal handlers are set by then, and it waits for the end
            // of
            // the file.
            try (var writer = Files.newOutputStream(pipe)) {
                sendSignal(process, "TERM");
                awaitCondition(() -> readLog().contains("SIGTERM"));
                writer.write(Files.readAllBytes(file));
            }
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), this::readLog);
            assertEquals(0, process.exitValue(), this::readLog);
            assertFalse(readLog().contains("node=n0"), this::readLog);
        }
    }

    /** Guards against stack traces or wrong exit statuses for a missing configuration or an occupied port. */
    @Test
    void badInputGivesOneLogLineAndExitStatus() throws Exception {
        Process withoutConfig = startProcess(null);
        assertEquals(2, withoutConfig.waitFor());
        assertTrue(readLog().contains("EDGE_CONFIG is not set"), this::readLog);
        Process withMissingFile = startProcess(folder.resolve("missing.json").toString());
        assertEquals(2, withMissingFile.waitFor());
        assertTrue(
                readLog().contains("missing.json: no such file") && !readLog().contains("\tat "), this::readLog);
        try (var environment = new PlatformEnvironment(1);
                var occupiedPort = new ServerSocket()) {
            occupiedPort.bind(environment.node());
            Path file = folder.resolve("config.json");
            environment.configure(file);
            Process process = startProcess(file.toString());
            assertEquals(3, process.waitFor());
            assertTrue(
                    readLog()
                                    .contains("can't listen at 127.0.0.1:"
                                            + environment.node().getPort())
                            && !readLog().contains("\tat "),
                    this::readLog);
        }
    }
}
