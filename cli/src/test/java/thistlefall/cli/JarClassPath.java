package thistlefall.cli;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The class path of the tests with each folder packed into a jar. As in the deployment, a process then has all its
 * classes in files that are open, and can load them also while it can open no descriptor.
 */
final class JarClassPath {
    private static String classPath;

    private JarClassPath() {}

    static synchronized String get() throws IOException {
        if (classPath == null) {
            Path folder = Files.createTempDirectory("jars");
            folder.toFile().deleteOnExit();
            classPath = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                    .map(Path::of)
                    .map(entry -> Files.isDirectory(entry) ? pack(entry, folder) : entry)
                    .map(Path::toString)
                    .collect(Collectors.joining(File.pathSeparator));
        }
        return classPath;
    }

    private static Path pack(Path classes, Path folder) {
        try {
            Path jar = Files.createTempFile(folder, "classes", ".jar");
            jar.toFile().deleteOnExit();
            try (var out = new JarOutputStream(Files.newOutputStream(jar))) {
                for (Path file : regularFiles(classes)) {
                    out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                    Files.copy(file, out);
                    out.closeEntry();
                }
            }
            return jar;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> regularFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).sorted().toList();
        }
    }
}
