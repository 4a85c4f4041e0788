package thistlefall.cli.fault;

/** What a client sends at full speed. */
enum FloodKind {
    READINESS_CHECKS,
    NO_ID_NO_TIME,
    LOOKUPS_OF_ONE_CUSTOMER,
    LOOKUPS_OF_NEW_CUSTOMERS,
    UNKNOWN_TARGETS,
    ONE_BYTE_CHUNKS,
    EMPTY_LINES,
    HALF_REQUESTS,
    LONG_HEADS,
    MALFORMED,
    SEND_MANY_AND_LEAVE,
    CONNECTION_FOR_EACH_REQUEST;

    /** How many requests are written at once. */
    private static final int REQUESTS_AT_ONCE = 200;

    private static final String HOST = " HTTP/1.1\r\nHost: service.internal\r\n";
    /** Nearly as many fields as a head may have. */
    private static final String MANY_FIELDS = "X-Field: value\r\n".repeat(60);

    /** Customers are numbers below this. */
    private static final long CUSTOMERS = 1L << 33;

    /** Whether each request comes on a connection of its own. */
    boolean connectsForEachRequest() {
        return this == CONNECTION_FOR_EACH_REQUEST || this == HALF_REQUESTS || leaves();
    }

    /** Whether a client closes without reading anything. */
    boolean leaves() {
        return this == SEND_MANY_AND_LEAVE;
    }

    /** Returns what is written first on each connection. */
    String beginning() {
        return this == ONE_BYTE_CHUNKS
                ? FaultClient.payment("chunked", 2).replace("Content-Length: 2\r\n\r\n{}", "")
                        + "Transfer-Encoding: chunked\r\n\r\n"
                : "";
    }

    /** Returns what is written at once, with ids from {@code firstNumber} on. */
    String text(long firstNumber) {
        if (connectsForEachRequest() && !leaves()) {
            return request(firstNumber);
        }
        var text = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            text.append(request(firstNumber + i));
        }
        return text.toString();
    }

    private String request(long number) {
        return switch (this) {
            case READINESS_CHECKS, CONNECTION_FOR_EACH_REQUEST -> FaultClient.READINESS;
            case NO_ID_NO_TIME -> "GET /lookup" + HOST + "X-Tariff: corridor\r\n\r\n";
            case LOOKUPS_OF_ONE_CUSTOMER -> lookup(number, 8);
            case LOOKUPS_OF_NEW_CUSTOMERS -> lookup(number, number % CUSTOMERS);
            case UNKNOWN_TARGETS -> "GET /unknown-" + number + HOST + "X-Trace-Id: " + number + "\r\n\r\n";
            case ONE_BYTE_CHUNKS -> "1\r\nx\r\n";
            case LONG_HEADS -> "GET /lookup" + HOST + MANY_FIELDS + "X-Trace-Id: " + number + "\r\n\r\n";
            case MALFORMED -> "GET /lookup" + HOST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc";
            case SEND_MANY_AND_LEAVE -> FaultClient.payment("left-" + number, 1);
            case EMPTY_LINES -> "\r\n";
            case HALF_REQUESTS -> "POST /payment" + HOST + "X-Trace-Id: " + number
                    + "\r\nContent-Length: 20\r\n\r\nhalf";
        };
    }

    private static String lookup(long number, long customer) {
        return FaultClient.lookup("flood-" + number, 1).replace("0000000000000007", String.format("%016x", customer));
    }
}
