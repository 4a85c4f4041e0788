package thistlefall.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thistlefall.cli.settings.SettingsValidator;
import thistlefall.edge.node.EdgeNode;
import thistlefall.edge.node.NodeInterceptor;
import thistlefall.edge.node.WallClock;
import thistlefall.standin.fault.FaultInjector;
import thistlefall.standin.fault.InjectedFault;

/** Sub-command {@code run}, the daemon: runs one edge node until SIGTERM or SIGINT, then drains it. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Runs an edge node until SIGTERM or SIGINT, then completes the pending requests and exits. "
                    + "Its log goes to standard error, one JSON object a line.",
            "Exit status 2: invalid settings; 3: could not run."
        })
final class RunCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger("thistlefall.counts");

    @Parameters(index = "0", paramLabel = "SETTINGS", description = "a Jsonnet file")
    private Path settingsFile;

    @Option(
            names = "--drain",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "how long a stop waits for pending responses (default: ${DEFAULT-VALUE})")
    private long drainMillis;

    @Option(
            names = "--counts-every",
            paramLabel = "MS",
            defaultValue = "60000",
            description = "interval of the counts in the node's log; 0 for never (default: ${DEFAULT-VALUE})")
    private long countsIntervalMillis;

    @Option(names = "--seed", paramLabel = "N", hidden = true)
    private Long seed;

    @Option(names = "--break", paramLabel = "FAULT", hidden = true, converter = FaultConverter.class)
    private InjectedFault fault;

    @Override
    public Integer call() throws Exception {
        var settings = SettingsValidator.readNodeSettings(settingsFile);
        EdgeNode node = EdgeNode.start(
                settings,
                new EdgeNode.Options(
                        seed == null ? ThreadLocalRandom.current().nextLong() : seed,
                        WallClock.SYSTEM,
                        fault == null ? NodeInterceptor.NONE : new FaultInjector(EnumSet.of(fault))));
        var stopped = new CountDownLatch(1);
        var exitStatus = new AtomicInteger();
        node.onUnexpectedEnd(() -> {
            exitStatus.set(Main.COULD_NOT_RUN);
            stopped.countDown();
        });
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            node.stop(Duration.ofMillis(drainMillis));
                            stopped.countDown();
                        },
                        "stop"));
        if (countsIntervalMillis > 0) {
            var scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
                Thread thread = new Thread(task, "counts");
                thread.setDaemon(true);
                return thread;
            });
            scheduler.scheduleAtFixedRate(
                    () -> logCounts(node), countsIntervalMillis, countsIntervalMillis, TimeUnit.MILLISECONDS);
        }
        System.out.println("listening " + node.address().getHostString() + ":"
                + node.address().getPort());
        System.out.flush();
        stopped.await();
        return exitStatus.get();
    }

    private static void logCounts(EdgeNode node) {
        LoggingEventBuilder event = LOG.atInfo();
        node.metrics().forEach(event::addKeyValue);
        event.log("counts");
    }
}
