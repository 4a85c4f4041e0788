package thistlefall.edge.http;

/** Character classes of RFC 9110 section 5.6. */
final class CharacterClasses {
    private static final byte TOKEN = 1;
    private static final byte FIELD_VALUE = 2;
    private static final byte TARGET = 4;
    private static final byte[] CLASSES = new byte[256];

    static {
        String marks = "!#$%&'*+-.^_`|~";
        for (int c = 0; c < 256; c++) {
            boolean alnum = c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z';
            int kind = alnum || c < 128 && marks.indexOf(c) >= 0 ? TOKEN : 0;
            kind |= c == '\t' || c >= 0x20 && c != 0x7F ? FIELD_VALUE : 0;
            kind |= c > 0x20 && c < 0x7F ? TARGET : 0;
            CLASSES[c] = (byte) kind;
        }
    }

    private CharacterClasses() {}

    static boolean isTokenCharacter(byte b) {
        return (CLASSES[b & 0xFF] & TOKEN) != 0;
    }

    /** Field content: visible characters, spaces, tabs and obs-text; no control character. */
    static boolean isFieldValueCharacter(byte b) {
        return (CLASSES[b & 0xFF] & FIELD_VALUE) != 0;
    }

    static boolean isTargetCharacter(byte b) {
        return (CLASSES[b & 0xFF] & TARGET) != 0;
    }

    static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    static int toLowerCase(byte b) {
        return b >= 'A' && b <= 'Z' ? b + 32 : b;
    }

    static int hexDigitValue(byte b) {
        if (b >= '0' && b <= '9') {
            return b - '0';
        }
        int lowerCase = toLowerCase(b);
        return lowerCase >= 'a' && lowerCase <= 'f' ? lowerCase - 'a' + 10 : -1;
    }
}
