package thistlefall.clock;

/**
 * The clock that a node uses for its decisions, in nanoseconds since the epoch. It never runs backwards and follows the
 * wall clock, so that nodes in separate processes use the same names for the counter's windows. It never jumps, so that
 * a step of the machine's clock does not make a deadline pass.
 *
 * <p>The clock starts at the wall clock time and advances with the monotonic clock. Each {@linkplain #observe reading}
 * of the wall clock gives the offset that remains to be corrected. The correction runs the clock at most
 * {@link #MAX_SLEW} faster or slower. A step of ten seconds, or a leap second, is thus smeared over
 * {@code offset / MAX_SLEW}; until then the node's windows begin that much too early or too late (docs/edge.md
 * describes the cost).
 *
 * <p>The caller reads both clocks. Not thread-safe.
 */
public final class MonotonicWallClock {
    /** The largest fraction by which this clock runs faster or slower than the monotonic clock: 2 %. */
    public static final double MAX_SLEW = 0.02;
    /** Offsets below this, in nanoseconds, are not corrected: reading two clocks in turn takes about as long. */
    private static final long MIN_OFFSET = 50_000;

    private long lastMonotonic;
    private long currentTime;
    private long remainingOffset;
    private double fractionalCorrection;

    /**
     * Creates a clock that starts at the wall clock time.
     *
     * @param monotonicTime a reading of the monotonic clock, nanoseconds
     * @param wallTime a reading of the wall clock at the same moment, nanoseconds since the epoch
     */
    public MonotonicWallClock(long monotonicTime, long wallTime) {
        this.lastMonotonic = monotonicTime;
        currentTime = wallTime;
    }

    /** Returns the time at a monotonic reading. A reading older than the last one returns the last time again. */
    public long timeAt(long monotonicTime) {
        long elapsed = monotonicTime - lastMonotonic;
        if (elapsed <= 0) {
            return currentTime;
        }
        lastMonotonic = monotonicTime;
        double maxCorrection = elapsed * MAX_SLEW + fractionalCorrection;
        long correction = (long) Math.min(Math.abs(remainingOffset), maxCorrection);
        fractionalCorrection = Math.abs(remainingOffset) > maxCorrection ? maxCorrection - correction : 0;
        correction = remainingOffset < 0 ? -correction : correction;
        remainingOffset -= correction;
        currentTime += elapsed + correction;
        return currentTime;
    }

    /** Records a reading of the wall clock, taken at the given monotonic time. */
    public void observe(long monotonicTime, long wallTime) {
        long difference = wallTime - timeAt(monotonicTime);
        remainingOffset = Math.abs(difference) < MIN_OFFSET ? 0 : difference;
    }

    /** Returns how far the wall clock is ahead (behind, if negative) and not yet corrected, in nanoseconds. */
    public long offset() {
        return remainingOffset;
    }

    /**
     * Returns the shortest time by which this clock may advance during a real duration, that is at its slowest rate; a
     * deadline computed with it is never late.
     */
    public static long minimumElapsed(long duration) {
        return duration - (long) Math.ceil(Math.max(0, duration) * MAX_SLEW);
    }
}
