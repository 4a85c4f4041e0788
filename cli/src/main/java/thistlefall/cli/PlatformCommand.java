package thistlefall.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import thistlefall.platform.node.PlatformProcess;

/**
 * Sub-command {@code platform}: runs a node on the users' platform. {@link Launcher} starts such a node without this
 * class; it gives the command its help text.
 */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = {
            "Runs an edge node on the users' platform, as "
                    + "the file named by EDGE_CONFIG says, until SIGTERM. SIGHUP: reloads that file.",
            "Exit status 2: invalid configuration; 3: could not run."
        })
final class PlatformCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return PlatformProcess.run();
    }
}
