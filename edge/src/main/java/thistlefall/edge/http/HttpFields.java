package thistlefall.edge.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The field lines of a head or of trailers: one copy of the received bytes, and the positions of names and values in
 * it. Strings are created only for the names and values that are read; forwarding fields copies bytes. Immutable.
 */
public final class HttpFields {
    /** No fields. */
    public static final HttpFields EMPTY = new HttpFields(new byte[0], new int[0], 0);

    private static final int SPANS_PER_LINE = 4;

    private final byte[] block;
    private final int[] spans;
    private final int count;

    /** Fields whose names and values are at these positions of the block: start, end, start, end for each line. */
    HttpFields(byte[] block, int[] spans, int count) {
        this.block = block;
        this.spans = spans;
        this.count = count;
    }

    /** The number of field lines. */
    public int size() {
        return count;
    }

    /** The memory that the fields take, in bytes. */
    public int heldBytes() {
        return block.length + spans.length * Integer.BYTES;
    }

    /** The name of a line, as received. */
    public String name(int line) {
        return text(spans[line * SPANS_PER_LINE], spans[line * SPANS_PER_LINE + 1]);
    }

    /** The value of a line, without surrounding white space. */
    public String value(int line) {
        return text(spans[line * SPANS_PER_LINE + 2], spans[line * SPANS_PER_LINE + 3]);
    }

    /** The first value of a field, by its name in lower case; null if the field is absent. */
    public String get(String lowerName) {
        int line = find(lowerName, 0);
        return line < 0 ? null : value(line);
    }

    /** Whether a field is present. */
    public boolean contains(String lowerName) {
        return find(lowerName, 0) >= 0;
    }

    /** All values of a field, in order. */
    public List<String> values(String lowerName) {
        List<String> values = new ArrayList<>(1);
        for (int line = find(lowerName, 0); line >= 0; line = find(lowerName, line + 1)) {
            values.add(value(line));
        }
        return values;
    }

    /** The first line at or after {@code fromLine} with this name; -1 if there is none. */
    public int find(String lowerName, int fromLine) {
        int length = lowerName.length();
        for (int line = fromLine; line < count; line++) {
            int start = spans[line * SPANS_PER_LINE];
            if (spans[line * SPANS_PER_LINE + 1] - start == length && nameEquals(lowerName, start, length)) {
                return line;
            }
        }
        return -1;
    }

    /** Whether a field with a comma-separated list has this member, ignoring case. */
    public boolean containsListMember(String lowerName, String member) {
        for (int line = find(lowerName, 0); line >= 0; line = find(lowerName, line + 1)) {
            for (String listMember : value(line).split(",")) {
                if (listMember.strip().equalsIgnoreCase(member)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The connection options, in lower case: names of fields that apply to this connection only (RFC 9110, 7.6.1). */
    public Set<String> connectionOptions() {
        if (!contains("connection")) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String value : values("connection")) {
            for (String name : value.split(",")) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }

    /** Writes the lines whose lower-case name passes the filter, as {@code name: value CRLF}. */
    public void writeTo(ByteBuf out, Predicate<String> nameFilter) {
        for (int line = 0; line < count; line++) {
            if (nameFilter.test(lowerName(line))) {
                writeLine(out, line);
            }
        }
    }

    /** Writes the lines whose name is in neither of the two sets; the second has names in lower case. */
    public void writeExcept(ByteBuf out, FieldNameSet excludedNames, Set<String> moreExcludedNames) {
        for (int line = 0; line < count; line++) {
            int offset = line * SPANS_PER_LINE;
            if (excludedNames.find(block, spans[offset], spans[offset + 1]) == null
                    && (moreExcludedNames.isEmpty() || !moreExcludedNames.contains(lowerName(line)))) {
                writeLine(out, line);
            }
        }
    }

    private void writeLine(ByteBuf out, int line) {
        int offset = line * SPANS_PER_LINE;
        out.writeBytes(block, spans[offset], spans[offset + 1] - spans[offset]);
        out.writeShort(':' << 8 | ' ');
        out.writeBytes(block, spans[offset + 2], spans[offset + 3] - spans[offset + 2]);
        out.writeShort('\r' << 8 | '\n');
    }

    /** The name of a line in lower case. */
    public String lowerName(int line) {
        int start = spans[line * SPANS_PER_LINE];
        int end = spans[line * SPANS_PER_LINE + 1];
        String known = CommonFieldNames.find(block, start, end);
        return known != null ? known : text(start, end).toLowerCase(Locale.ROOT);
    }

    private boolean nameEquals(String lowerName, int start, int length) {
        for (int i = 0; i < length; i++) {
            if (CharacterClasses.toLowerCase(block[start + i]) != lowerName.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String text(int start, int end) {
        return new String(block, start, end - start, StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int line = 0; line < count; line++) {
            text.append(name(line)).append(": ").append(value(line)).append('\n');
        }
        return text.toString();
    }
}
