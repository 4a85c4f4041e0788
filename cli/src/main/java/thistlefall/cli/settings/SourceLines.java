package thistlefall.cli.settings;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps paths to line numbers of a Jsonnet source, as far as objects and arrays are written out in it. A value that
 * comes from a function or an import has no line of its own; it gets the line of its nearest enclosing value that has
 * one.
 */
final class SourceLines {
    /** An object or array whose closing bracket has not been reached yet. */
    private static final class OpenContainer {
        private final boolean isArray;
        private final String path;
        private int index;
        private String currentKey;

        private OpenContainer(boolean isArray, String path) {
            this.isArray = isArray;
            this.path = path;
        }

        private String currentPath() {
            return isArray
                    ? path + "[" + index + "]"
                    : currentKey == null ? path : path.isEmpty() ? currentKey : path + "." + currentKey;
        }
    }

    /** Paths in the value of a local variable start with {@code @NAME}; uses of the variable are aliases of it. */
    private final Map<String, Integer> lineByPath = new HashMap<>();

    private final Map<String, String> aliasByPath = new HashMap<>();

    SourceLines(String source) {
        scan(source);
    }

    /** Returns the line of a path or of its nearest enclosing value; 0 if there is none. */
    int lineOf(String path) {
        for (String ancestor = path; !ancestor.isEmpty(); ancestor = parentPath(ancestor)) {
            String alias = aliasByPath.get(ancestor);
            if (alias != null && lineByPath.containsKey(alias)) {
                return lineOf(alias + path.substring(ancestor.length()));
            }
            Integer line = lineByPath.get(ancestor);
            if (line != null) {
                return line;
            }
        }
        return lineByPath.getOrDefault("", 0);
    }

    private static String parentPath(String path) {
        return path.substring(0, Math.max(0, Math.max(path.lastIndexOf('.'), path.lastIndexOf('['))));
    }

    /** Scans the source once, without evaluating it; brackets, colons and commas inside parentheses are ignored. */
    private void scan(String source) {
        var openContainers = new ArrayDeque<OpenContainer>();
        int line = 1;
        int parenDepth = 0;
        String lastToken = null;
        String localName = null;
        for (int i = 0; i < source.length(); i++) {
            char current = source.charAt(i);
            if (current == '\n') {
                line++;
            } else if (current == '#' || source.startsWith("//", i)) {
                int end = source.indexOf('\n', i);
                i = (end < 0 ? source.length() : end) - 1;
            } else if (source.startsWith("/*", i)) {
                int end = source.indexOf("*/", i + 2);
                end = end < 0 ? source.length() : end + 2;
                line += (int) source.substring(i, end)
                        .chars()
                        .filter(character -> character == '\n')
                        .count();
                i = end - 1;
            } else if (current == '"' || current == '\'') {
                int end = i + 1;
                while (end < source.length() && source.charAt(end) != current) {
                    end += source.charAt(end) == '\\' ? 2 : 1;
                }
                lastToken = source.substring(i + 1, Math.min(end, source.length()));
                i = end;
            } else if (Character.isLetterOrDigit(current) || current == '_') {
                int end = i;
                while (end < source.length()
                        && (Character.isLetterOrDigit(source.charAt(end)) || source.charAt(end) == '_')) {
                    end++;
                }
                lastToken = source.substring(i, end);
                recordLine(openContainers, line);
                if (openContainers.isEmpty()) {
                    localName = source.startsWith("local", Math.max(0, i - 6)) ? lastToken : localName;
                } else if (openContainers.peek().currentKey != null && Character.isLetter(lastToken.charAt(0))) {
                    aliasByPath.putIfAbsent(openContainers.peek().currentPath(), "@" + lastToken);
                }
                i = end - 1;
            } else if (current == ';') {
                localName = null;
            } else if (current == '(') {
                parenDepth++;
            } else if (current == ')') {
                parenDepth--;
            } else if (parenDepth > 0) {
                continue;
            } else if (current == '{' || current == '[') {
                String path = openContainers.isEmpty()
                        ? localName == null ? "" : "@" + localName
                        : openContainers.peek().currentPath();
                lineByPath.putIfAbsent(path, line);
                openContainers.push(new OpenContainer(current == '[', path));
                lastToken = null;
            } else if ((current == '}' || current == ']') && !openContainers.isEmpty()) {
                openContainers.pop();
            } else if (current == ':'
                    && !openContainers.isEmpty()
                    && !openContainers.peek().isArray
                    && lastToken != null) {
                openContainers.peek().currentKey = lastToken;
                lineByPath.putIfAbsent(openContainers.peek().currentPath(), line);
                lastToken = null;
            } else if (current == ',' && !openContainers.isEmpty()) {
                openContainers.peek().index++;
                openContainers.peek().currentKey = null;
            }
        }
    }

    private void recordLine(ArrayDeque<OpenContainer> openContainers, int line) {
        String path = openContainers.isEmpty() ? "" : openContainers.peek().currentPath();
        lineByPath.putIfAbsent(path, line);
    }
}
