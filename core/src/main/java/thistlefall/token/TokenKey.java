package thistlefall.token;

/**
 * The name under which a token is kept: 128 bits of a keyed digest. The token itself never comes here.
 *
 * @param high the upper half
 * @param low the lower half
 */
public record TokenKey(long high, long low) {
    /** Short, for logs: enough to tell tokens apart, not enough to find one. */
    @Override
    public String toString() {
        return String.format("%08x", high >>> 32);
    }
}
