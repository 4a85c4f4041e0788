package thistlefall.edge.http;

/**
 * Size limits of a message.
 *
 * @param maxLineBytes bytes of a line: request line, status line, field line or chunk size line
 * @param maxHeadBytes bytes of a complete head, and of the trailers of a body
 * @param maxFields number of field lines of a head, and of the trailers
 * @param maxBodyBytes bytes of a body
 */
public record HttpLimits(int maxLineBytes, int maxHeadBytes, int maxFields, long maxBodyBytes) {
    /** Sizes that common servers accept. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 * 1024, 32 * 1024, 100, 64L << 20);
}
