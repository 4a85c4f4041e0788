package thistlefall.cli;

import thistlefall.platform.node.PlatformProcess;

/**
 * Entry point of the program. The sub-command {@code platform} bypasses picocli: a node on the users' platform starts
 * with a fraction of a core, and loading the command-line parser would take longer than loading the node itself.
 */
public final class Launcher {
    private Launcher() {}

    /** Runs a sub-command and exits with status 0 or with a status that the sub-command's help describes. */
    public static void main(String[] args) {
        System.exit(args.length == 1 && args[0].equals("platform") ? PlatformProcess.run() : Main.run(args));
    }
}
