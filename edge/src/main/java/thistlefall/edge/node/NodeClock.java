package thistlefall.edge.node;

import org.slf4j.Logger;
import thistlefall.clock.MonotonicWallClock;

/**
 * The time that all nodes share, in nanoseconds since the epoch. It follows the wall clock and never runs backwards.
 * Confined to the node's event loop.
 */
final class NodeClock {
    /** The interval between readings of the wall clock, and the offset above which a warning is logged; nanoseconds. */
    private static final long ONE_SECOND = 1_000_000_000L;

    private final String nodeName;
    private final WallClock wallClockSource;
    private final Logger log;
    private final MonotonicWallClock sharedClock;
    private long observedAt = System.nanoTime();

    NodeClock(String nodeName, WallClock wallClockSource, Logger log) {
        this.nodeName = nodeName;
        this.wallClockSource = wallClockSource;
        this.log = log;
        sharedClock = new MonotonicWallClock(observedAt, wallClockSource.epochNanos());
    }

    /** Returns the current shared time in nanoseconds since the epoch. */
    long now() {
        return sharedClock.timeAt(System.nanoTime());
    }

    /** Reads the wall clock at most once a second and corrects the shared time by it. */
    void onTick(long monotonicNow) {
        if (monotonicNow - observedAt <= ONE_SECOND) {
            return;
        }
        observedAt = monotonicNow;
        sharedClock.observe(monotonicNow, wallClockSource.epochNanos());
        if (Math.abs(sharedClock.offset()) > ONE_SECOND) {
            log.atWarn()
                    .addKeyValue("node", nodeName)
                    .addKeyValue("offset_ms", sharedClock.offset() / 1_000_000)
                    .log("clock stepped; worked off slowly");
        }
    }
}
