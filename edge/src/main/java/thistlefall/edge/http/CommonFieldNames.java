package thistlefall.edge.http;

/** Field names that occur in nearly every message, shared so that no string is allocated for them. */
final class CommonFieldNames {
    private static final FieldNameSet NAMES = FieldNameSet.of(
            "host",
            "connection",
            "content-length",
            "content-type",
            "transfer-encoding",
            "date",
            "authorization",
            "idempotency-key",
            "accept",
            "user-agent",
            "expect",
            "keep-alive",
            "te",
            "trailer",
            "upgrade",
            "via",
            "server",
            "etag",
            "cache-control",
            "accept-encoding",
            "retry-after",
            "vary",
            "proxy-connection",
            "request-units",
            "request-unseen",
            "endpoint-load-metrics",
            "request-timeout");

    private CommonFieldNames() {}

    static String find(byte[] block, int start, int end) {
        return NAMES.find(block, start, end);
    }
}
