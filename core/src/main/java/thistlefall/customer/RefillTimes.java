package thistlefall.customer;

import java.util.Arrays;

/**
 * For customers that were forgotten before something of theirs was full again, the time at which it will be. A fixed
 * number of slots; customers with the same slot share the latest of their times, so that none is ever taken to be
 * fuller than it is. Times are nanoseconds. Not thread-safe.
 */
final class RefillTimes {
    private static final int SLOT_BITS = 13;
    /** Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Allocated when the first time is recorded. */
    private long[] fullAt;

    void record(long key, long time) {
        if (fullAt == null) {
            fullAt = new long[1 << SLOT_BITS];
            Arrays.fill(fullAt, Long.MIN_VALUE);
        }
        int slot = slotOf(key);
        fullAt[slot] = Math.max(fullAt[slot], time);
    }

    /** Returns when the customer's units are full at the latest; {@code Long.MIN_VALUE} if that is not recorded. */
    long find(long key) {
        return fullAt == null ? Long.MIN_VALUE : fullAt[slotOf(key)];
    }

    private static int slotOf(long key) {
        return (int) (key * HASH_MULTIPLIER >>> (Long.SIZE - SLOT_BITS));
    }
}
