package thistlefall.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The command {@code thistlefall}: parses the command line, runs the sub-command and maps errors to exit statuses. */
@Command(
        name = "thistlefall",
        version = "thistlefall 0.2.0",
        mixinStandardHelpOptions = true,
        subcommands = {
            RehearseCommand.class,
            RunCommand.class,
            PlatformCommand.class,
            CheckCommand.class,
            StandinCommand.class,
            HelpCommand.class
        },
        description = "An API gateway that enforces quotas and priorities across a fleet of instances.")
public final class Main implements Runnable {
    /** Exit status: a rehearsal broke a rule. */
    static final int RULE_BROKEN = 1;
    /** Exit status: invalid arguments, or an invalid settings or day file. */
    static final int BAD_INPUT = 2;
    /** Exit status: the sub-command could not run. */
    static final int COULD_NOT_RUN = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a sub-command and returns its exit status. */
    static int run(String... args) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((error, commandLine, parsed) -> {
                    commandLine
                            .getErr()
                            .println("thistlefall: " + (error.getMessage() == null ? error : error.getMessage()));
                    return error instanceof thistlefall.cli.settings.InvalidFileException ? BAD_INPUT : COULD_NOT_RUN;
                })
                .execute(args);
    }

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getErr());
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }
}
