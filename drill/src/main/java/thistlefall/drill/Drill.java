package thistlefall.drill;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Entry point of the adapter: runs many gateways on the simulator's line protocol until standard input ends. */
public final class Drill {
    private Drill() {}

    /** Runs the adapter; the only argument is the word {@code drill}. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: thistlefall.jar drill");
            System.exit(2);
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16);
        try {
            new WireReader(in, new WireWriter(out)).run();
        } catch (WireFormatException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("connection to the simulator failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
