package thistlefall.cli.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import thistlefall.standin.day.Day;
import thistlefall.standin.day.Rehearsal;

/** Reads and validates days, either bundled with the program or from any file. */
public final class DayFiles {
    /** Names of the bundled days; the first is the default. */
    public static final List<String> BUNDLED =
            List.of("bad-day", "calm-day", "fleet-day", "lumpy-day", "quiet-day", "short-day");

    private static final List<String> LIBRARIES = List.of("common.libsonnet");

    private DayFiles() {}

    /** Reads a day by name or by path. */
    public static Day read(String nameOrPath) throws InvalidFileException, IOException {
        Path folder = Files.createTempDirectory("thistlefall-days");
        try {
            for (String libraryName : LIBRARIES) {
                unpack(libraryName, folder);
            }
            // The bundled libraries are unpacked for every day, as a user's file may import them too.
            Path file = BUNDLED.contains(nameOrPath) ? unpack(nameOrPath + ".jsonnet", folder) : Path.of(nameOrPath);
            return read(file, folder);
        } finally {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    /** Copies a bundled file to a folder, as the Jsonnet evaluator reads only from the file system. */
    private static Path unpack(String name, Path folder) throws IOException {
        try (InputStream in = DayFiles.class.getResourceAsStream("/days/" + name)) {
            if (in == null) {
                throw new IOException("bundled file is missing: " + name);
            }
            Path file = folder.resolve(name);
            Files.copy(in, file);
            return file;
        }
    }

    private static Day read(Path file, Path libraryFolder) throws InvalidFileException {
        JsonnetFile.ReadResult<Day> result = JsonnetFile.read(file, Day.class, List.of(libraryFolder));
        Day day = result.value();
        ValidationErrors errors = result.errors();
        if (errors.isEmpty() && day != null) {
            require(day.name(), "name", errors);
            require(day.length(), "length", errors);
            require(day.settings(), "settings", errors);
            require(day.servers(), "servers", errors);
            require(day.work(), "work", errors);
            require(day.customers(), "customers", errors);
            require(day.mix(), "mix", errors);
            require(day.patience(), "patience", errors);
            require(day.troubles(), "troubles", errors);
            require(day.backOff(), "back_off", errors);
            require(day.drainGrace(), "drain_grace", errors);
            require(day.allowance(), "allowance", errors);
            if (day.patience() != null && day.patience().size() != 2) {
                errors.add("patience", "must be two parts of the deadline");
            }
            if (errors.isEmpty()) {
                require(day.settings().zones(), "settings.zones", errors);
                require(day.settings().servers(), "settings.servers", errors);
                SettingsValidator.checkTemplate(day.settings(), errors, "settings");
            }
            if (errors.isEmpty()) {
                Rehearsal.validate(day).forEach(error -> {
                    int colon = error.indexOf(": ");
                    boolean hasPath = colon > 0 && !error.substring(0, colon).contains(" ");
                    errors.add(hasPath ? error.substring(0, colon) : "", hasPath ? error.substring(colon + 2) : error);
                });
            }
        }
        return result.orThrow();
    }

    private static void require(Object value, String path, ValidationErrors errors) {
        if (value == null) {
            errors.add(path, "is needed");
        }
    }
}
