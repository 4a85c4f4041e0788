package thistlefall.quota;

/**
 * The running totals of one customer at the shared counter, one total per window: its name at the counter, the part
 * that this gateway reported, and the others' use that is new since the last response. A window is an interval of the
 * clock that the gateways share; windows of different customers begin at different moments. The previous window is
 * kept, so that its final total can still be read. Times are nanoseconds. Not thread-safe.
 */
public final class WindowedTotals {
    private static final double ROUNDING_TOLERANCE = 1e-3;

    private final long customerKey;
    private final long windowSpan;
    private final long windowOffset;
    /** The indexes of the current and the previous window; the arrays below have the same order. */
    private final long[] windowIndexes = {Long.MIN_VALUE, Long.MIN_VALUE};

    private final double[] ownReported = new double[2];
    private final double[] othersReported = new double[2];

    /** Creates empty totals; {@code customerKey} is the same at every gateway. */
    public WindowedTotals(long customerKey, long windowSpan) {
        this.customerKey = customerKey;
        this.windowSpan = windowSpan;
        windowOffset = Math.floorMod(hash64(customerKey), windowSpan);
    }

    /**
     * Advances to {@code now}; returns whether the next window has begun, so that the final total of the last one is
     * due.
     */
    public boolean advance(long now) {
        long windowIndex = Math.floorDiv(now + windowOffset, windowSpan);
        if (windowIndex == windowIndexes[0]) {
            return false;
        }
        boolean consecutive = windowIndex == windowIndexes[0] + 1;
        windowIndexes[1] = consecutive ? windowIndexes[0] : Long.MIN_VALUE;
        ownReported[1] = ownReported[0];
        othersReported[1] = othersReported[0];
        windowIndexes[0] = windowIndex;
        ownReported[0] = 0;
        othersReported[0] = 0;
        return consecutive;
    }

    /** Returns the index of the current window. */
    public long currentWindow() {
        return windowIndexes[0];
    }

    /** Returns the index of the previous window; {@link Long#MIN_VALUE} if nothing is known of it. */
    public long previousWindow() {
        return windowIndexes[1];
    }

    /** Returns the start time of the current window. */
    public long windowStart() {
        return windowIndexes[0] * windowSpan - windowOffset;
    }

    /** Returns the name of a window's total at the counter. */
    public long counterName(long windowIndex) {
        return hash64(hash64(customerKey) + windowIndex) >>> 1;
    }

    /** Returns whether this is the current or the previous window. */
    public boolean isRetained(long windowIndex) {
        return slot(windowIndex) >= 0;
    }

    /** Records an amount that was added, or may have been added, to a window's total. */
    public void recordReported(long windowIndex, double amount) {
        int slot = slot(windowIndex);
        if (slot >= 0) {
            ownReported[slot] += amount;
        }
    }

    /** Returns the units that this gateway reported in the current window. */
    public double ownReported() {
        return ownReported[0];
    }

    /**
     * Returns the others' use in a kept window that is new since the last call for it.
     *
     * @param total the total after this gateway's {@code lastAmount} was added
     * @param tolerance how far the others' part may shrink before it counts as a loss of data at the counter
     */
    public double newOthersUse(long windowIndex, double total, double lastAmount, double tolerance) {
        int slot = slot(windowIndex);
        double othersTotal = total - ownReported[slot];
        if (othersTotal < -ROUNDING_TOLERANCE || othersTotal < othersReported[slot] - tolerance) {
            // The counter lost data. Its total now covers only the use since the loss, which is all that is known.
            ownReported[slot] = lastAmount;
            othersReported[slot] = 0;
            othersTotal = Math.max(0, total - lastAmount);
        }
        double newUse = othersTotal - othersReported[slot];
        othersReported[slot] = othersTotal;
        return newUse;
    }

    private int slot(long windowIndex) {
        return windowIndex == windowIndexes[0] ? 0 : windowIndex == windowIndexes[1] ? 1 : -1;
    }

    private static long hash64(long z) {
        long x = z + 0x9e3779b97f4a7c15L;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
