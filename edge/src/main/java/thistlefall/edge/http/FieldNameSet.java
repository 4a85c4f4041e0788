package thistlefall.edge.http;

import java.util.Arrays;

/** A set of field names that is searched by the bytes of a head, without allocating strings. Immutable. */
public final class FieldNameSet {
    private final String[][] byLength;

    private FieldNameSet(String[][] byLength) {
        this.byLength = byLength;
    }

    /** A set of names in lower case. */
    public static FieldNameSet of(String... lowerNames) {
        int longest = Arrays.stream(lowerNames).mapToInt(String::length).max().orElse(0);
        String[][] byLength = new String[longest + 1][];
        for (int length = 0; length <= longest; length++) {
            int wantedLength = length;
            byLength[length] = Arrays.stream(lowerNames)
                    .filter(name -> name.length() == wantedLength)
                    .toArray(String[]::new);
        }
        return new FieldNameSet(byLength);
    }

    /** The name that these bytes spell, ignoring case; null if it is not in the set. */
    String find(byte[] block, int start, int end) {
        int length = end - start;
        if (length >= byLength.length) {
            return null;
        }
        next:
        for (String name : byLength[length]) {
            for (int i = 0; i < length; i++) {
                if (CharacterClasses.toLowerCase(block[start + i]) != name.charAt(i)) {
                    continue next;
                }
            }
            return name;
        }
        return null;
    }
}
