package thistlefall.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thistlefall.cli.settings.SettingsCheck;
import thistlefall.edge.host.EdgeNode;
import thistlefall.edge.host.Fault;
import thistlefall.edge.host.WallClock;

/** The daemon: one edge node until it is told to stop. */
@Command(name = "run", mixinStandardHelpOptions = true, description = {"Runs an edge node until SIGTERM or SIGINT, "
    + "then answers what it owes and ends. Its log goes to standard error, one JSON object a line.",
    "Exit status 2: faulty settings; 3: could not run."})
final class RunCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SETTINGS", description = "a Jsonnet file")
    private Path file;

    @Option(names = "--drain", paramLabel = "MS", defaultValue = "5000",
        description = "how long a stop waits for answers owed (default: ${DEFAULT-VALUE})")
    private long drain;

    @Option(names = "--seed", paramLabel = "N", hidden = true)
    private Long seed;

    @Option(names = "--break", paramLabel = "FAULT", hidden = true, converter = FaultConverter.class)
    private Fault fault;

    @Override
    public Integer call() throws Exception {
        var settings = SettingsCheck.node(file);
        Set<Fault> faults = fault == null ? Set.of() : EnumSet.of(fault);
        EdgeNode node = EdgeNode.start(settings, new EdgeNode.Options(
            seed == null ? ThreadLocalRandom.current().nextLong() : seed, WallClock.SYSTEM, faults));
        var stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            node.stop(Duration.ofMillis(drain));
            stopped.countDown();
        }, "stop"));
        System.out.println("listening " + node.address().getHostString() + ":" + node.address().getPort());
        System.out.flush();
        stopped.await();
        return 0;
    }
}
