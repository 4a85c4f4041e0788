package thistlefall.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thistlefall.cli.settings.SettingsValidator;

/** Sub-command {@code check}: validates a settings file of a node and prints every error with its location. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the settings of a node. Exit status 0, or 2 with every error: file, line, path, reason.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SETTINGS", description = "a Jsonnet file")
    private Path settingsFile;

    @Override
    public Integer call() throws Exception {
        var settings = SettingsValidator.readNodeSettings(settingsFile);
        System.out.println(settingsFile + ": good; node " + settings.node().name() + ", "
                + settings.classes().size() + " classes, " + settings.plans().size() + " plans, "
                + settings.routes().size() + " routes");
        return 0;
    }
}
