package thistlefall.cli.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sjsonnet.SjsonnetMain;

/** Evaluates a Jsonnet file and binds the resulting JSON to a record. */
public final class JsonnetFile {
    /**
     * The result of reading a file.
     *
     * @param value the bound value; must not be used if there are errors
     * @param faults the errors found so far; further checks may add to them
     */
    public record ReadResult<T>(T value, ValidationErrors errors) {
        /** Returns the value, or throws if there are errors. */
        public T orThrow() throws InvalidFileException {
            if (!errors.isEmpty()) {
                throw new InvalidFileException(errors.messages());
            }
            return value;
        }
    }

    private JsonnetFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if the file can't be read or evaluated; binding errors are in the result instead
     */
    public static <T> ReadResult<T> read(Path file, Class<T> type) throws InvalidFileException {
        return read(file, type, List.of());
    }

    /** Reads a file whose imports are resolved against its own folder first, then against the given folders. */
    public static <T> ReadResult<T> read(Path file, Class<T> type, List<Path> libraries) throws InvalidFileException {
        String source;
        try {
            source = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidFileException(List.of(file + ": "
                    + (e instanceof java.nio.file.NoSuchFileException
                            ? "no such file"
                            : "can't be read: " + e.getMessage())));
        }
        JsonNode tree = evaluate(file, libraries);
        ValidationErrors errors = new ValidationErrors(file.toString(), new SourceLines(source));
        Object value = new RecordBinder(errors).bind(tree, (Type) type, "");
        if (value == null && errors.isEmpty()) {
            errors.add("", "must be an object");
        }
        return new ReadResult<>(type.cast(value), errors);
    }

    private static JsonNode evaluate(Path file, List<Path> libraries) throws InvalidFileException {
        var standardOutput = new ByteArrayOutputStream();
        var standardError = new ByteArrayOutputStream();
        int exitStatus;
        List<String> arguments = new ArrayList<>();
        libraries.forEach(folder -> arguments.addAll(List.of("--jpath", folder.toString())));
        arguments.add(file.toString());
        try {
            exitStatus = SjsonnetMain.main0(
                    arguments.toArray(String[]::new),
                    new sjsonnet.DefaultParseCache(),
                    new ByteArrayInputStream(new byte[0]),
                    new PrintStream(standardOutput, true, StandardCharsets.UTF_8),
                    new PrintStream(standardError, true, StandardCharsets.UTF_8),
                    os.package$.MODULE$.pwd(),
                    SjsonnetMain.main0$default$7(),
                    SjsonnetMain.main0$default$8(),
                    SjsonnetMain.main0$default$9());
        } catch (RuntimeException | StackOverflowError e) {
            throw new InvalidFileException(List.of(file + ": " + e.getMessage()));
        }
        if (exitStatus != 0) {
            // The first two lines of the evaluator's message hold the line and the column; the rest is a stack trace.
            String message =
                    standardError.toString(StandardCharsets.UTF_8).strip().replaceAll("\\s*\\R\\s*at ", " at ");
            throw new InvalidFileException(List.of(file + ": "
                    + message.lines().limit(2).reduce((a, b) -> a + " " + b).orElse("")));
        }
        try {
            return new ObjectMapper().readTree(standardOutput.toByteArray());
        } catch (IOException e) {
            throw new InvalidFileException(List.of(file + ": " + e.getMessage()));
        }
    }
}
