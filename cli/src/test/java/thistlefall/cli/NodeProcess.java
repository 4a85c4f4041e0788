package thistlefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Runs a platform node as a process, with its log and its temporary files in a folder of the test. */
public final class NodeProcess {
    private static final long CONDITION_TIMEOUT_SECONDS = 40;

    private NodeProcess() {}

    /** Starts the process; {@code config} is the value of {@code EDGE_CONFIG}, null for none. */
    public static Process start(Path folder, String config, List<String> jvmOptions) throws IOException {
        // A signal that this process was started to ignore, as under nohup, would be ignored by the node as well.
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP,INT,TERM"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", JarClassPath.get(), Launcher.class.getName(), "platform"));
        var builder = new ProcessBuilder(command);
        builder.environment().remove("EDGE_CONFIG");
        if (config != null) {
            builder.environment().put("EDGE_CONFIG", config);
        }
        builder.environment().put("TMPDIR", folder.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()))
                .start();
    }

    public static String readLog(Path folder) {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    public static void sendSignal(Process process, String signalName) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    public static void awaitCondition(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONDITION_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within " + CONDITION_TIMEOUT_SECONDS + " s");
            }
            LockSupport.parkNanos(20_000_000L);
        }
    }
}
