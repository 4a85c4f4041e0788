package thistlefall.token;

/**
 * The key under which a token is cached: 128 bits of a keyed digest. It does not contain the token itself.
 *
 * @param high the upper half
 * @param low the lower half
 */
public record TokenKey(long high, long low) {
    /** Returns a short form for logs that distinguishes tokens but does not identify one. */
    @Override
    public String toString() {
        return String.format("%08x", high >>> 32);
    }
}
