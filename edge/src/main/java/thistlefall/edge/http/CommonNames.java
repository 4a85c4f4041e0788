package thistlefall.edge.http;

/** Field names met on nearly every message, so that no text is made for them. */
final class CommonNames {
    private static final String[][] BY_LENGTH = new String[32][];

    static {
        String[] names = {"host", "connection", "content-length", "content-type", "transfer-encoding", "date",
            "authorization", "idempotency-key", "accept", "user-agent", "expect", "keep-alive", "te", "trailer",
            "upgrade", "via", "server", "etag", "cache-control", "accept-encoding", "retry-after", "vary",
            "proxy-connection", "request-units", "request-unseen", "endpoint-load-metrics", "request-timeout"};
        for (int length = 0; length < BY_LENGTH.length; length++) {
            int l = length;
            BY_LENGTH[length] = java.util.Arrays.stream(names).filter(n -> n.length() == l).toArray(String[]::new);
        }
    }

    private CommonNames() {
    }

    static String find(byte[] block, int start, int end) {
        int length = end - start;
        if (length >= BY_LENGTH.length) {
            return null;
        }
        next:
        for (String name : BY_LENGTH[length]) {
            for (int i = 0; i < length; i++) {
                if (Chars.lower(block[start + i]) != name.charAt(i)) {
                    continue next;
                }
            }
            return name;
        }
        return null;
    }
}
