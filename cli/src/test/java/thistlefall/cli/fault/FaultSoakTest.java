package thistlefall.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against effects twice, requests begun for clients that have left, repeats beyond their window and requests
 * without an answer, under all troubles at once. More seeds: {@code -Dsoak.first=1 -Dsoak.seeds=50}.
 */
class FaultSoakTest {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 3);

    @TempDir
    Path folder;

    @Test
    void rulesHoldUnderTroubles() throws Exception {
        List<Soak.Result> results = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
            Soak.Result result = Soak.play(seed, seedFolder);
            System.out.println("soak seed " + seed + ": " + result.summary() + ", violations " + result.violations());
            results.add(result);
        }
        List<Soak.Result> broken = results.stream()
                .filter(result -> !result.violations().isEmpty())
                .toList();
        assertEquals(
                "",
                broken.stream()
                        .map(result -> "seed " + result.seed() + " " + result.violations())
                        .collect(Collectors.joining("\n")),
                () -> broken.get(0).log());
    }
}
