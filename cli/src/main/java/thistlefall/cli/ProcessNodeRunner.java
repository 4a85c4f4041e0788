package thistlefall.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistlefall.cli.settings.RecordBinder;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.day.NodeRunner;
import thistlefall.standin.fault.InjectedFault;

/**
 * Runs each node of a rehearsal in a process of its own, started with sub-command {@code run}. A kill is a SIGKILL, a
 * stall is a SIGSTOP followed by a SIGCONT.
 */
final class ProcessNodeRunner implements NodeRunner {
    private static final long START_TIMEOUT_S = 30;
    private static final int COUNTS_INTERVAL_MS = 250;
    private final Path workFolder;

    ProcessNodeRunner(Path workFolder) {
        this.workFolder = workFolder;
    }

    @Override
    public String name() {
        return "daemon";
    }

    @Override
    public RunningNode start(NodeSettings settings, long seed, Set<InjectedFault> faults) throws IOException {
        Path settingsFile = workFolder.resolve(settings.node().name() + ".jsonnet");
        Files.writeString(
                settingsFile,
                new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(RecordBinder.toJson(settings)));
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-XX:+UseSerialGC",
                "-Xmx256m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Launcher.class.getName(),
                "run",
                settingsFile.toString(),
                "--seed",
                Long.toString(seed),
                "--drain",
                "2000",
                "--counts-every",
                Integer.toString(COUNTS_INTERVAL_MS)));
        faults.forEach(fault -> command.addAll(List.of("--break", fault.label())));
        Path log = workFolder.resolve(settings.node().name() + ".log");
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        awaitListening(process, log);
        return new RunningNode() {
            @Override
            public void kill() {
                process.destroyForcibly();
                waitForExit(process);
            }

            @Override
            public void stall(Duration duration) {
                sendSignal(process, "-STOP");
                Thread resumeThread = new Thread(
                        () -> {
                            sleep(duration.toMillis());
                            sendSignal(process, "-CONT");
                        },
                        "resume-" + process.pid());
                resumeThread.setDaemon(true);
                resumeThread.start();
            }

            @Override
            public void stop() {
                process.destroy();
                if (!waitForExit(process)) {
                    process.destroyForcibly();
                }
            }

            @Override
            public Map<String, Long> metrics() {
                return lastCounts(log);
            }
        };
    }

    /**
     * The last counts in a node's log. Waits for two intervals first, so that the log holds counts newer than the call.
     */
    private static Map<String, Long> lastCounts(Path log) {
        sleep(2L * COUNTS_INTERVAL_MS);
        try (var lines = Files.lines(log)) {
            String lastLine = lines.filter(line -> line.contains("\"thistlefall.counts\""))
                    .reduce((a, b) -> b)
                    .orElse(null);
            Map<String, Long> counts = new LinkedHashMap<>();
            if (lastLine != null) {
                new ObjectMapper()
                        .readTree(lastLine).properties().stream()
                                .filter(e -> e.getValue().isIntegralNumber())
                                .forEach(
                                        e -> counts.put(e.getKey(), e.getValue().asLong()));
            }
            return counts;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Waits for the node's {@code listening} line; kills the process if it does not come in time. */
    private static void awaitListening(Process process, Path log) throws IOException {
        var standardOutput =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Thread watchdog = new Thread(
                () -> {
                    if (sleep(START_TIMEOUT_S * 1_000)) {
                        process.destroyForcibly();
                    }
                },
                "start-" + process.pid());
        watchdog.setDaemon(true);
        watchdog.start();
        String line = standardOutput.readLine();
        watchdog.interrupt();
        if (line == null || !line.startsWith("listening ")) {
            process.destroyForcibly();
            throw new IOException(
                    "a node did not start: " + Files.readString(log).strip());
        }
    }

    /** Waits up to 5 s for the process to exit; returns whether it did. */
    private static boolean waitForExit(Process process) {
        try {
            return process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void sendSignal(Process process, String signalOption) {
        try {
            new ProcessBuilder("kill", signalOption, Long.toString(process.pid()))
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps; returns false if interrupted. */
    private static boolean sleep(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }
}
