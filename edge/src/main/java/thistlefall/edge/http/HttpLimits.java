package thistlefall.edge.http;

/**
 * What a message may take up at most.
 *
 * @param line bytes of a line: request line, status line, field line or chunk size line
 * @param head bytes of a whole head, and of the trailers of a body
 * @param fields field lines of a head, and of the trailers
 * @param body bytes of a body
 */
public record HttpLimits(int line, int head, int fields, long body) {
    /** Sizes that common servers take. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 * 1024, 32 * 1024, 100, 64L << 20);
}
