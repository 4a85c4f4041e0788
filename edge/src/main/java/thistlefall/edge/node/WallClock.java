package thistlefall.edge.node;

import java.time.Instant;

/** The machine's wall clock, which may be stepped or slewed at any time. */
@FunctionalInterface
public interface WallClock {
    /** The operating system's clock. */
    WallClock SYSTEM = () -> {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    };

    /** Returns the current time in nanoseconds since the epoch. */
    long epochNanos();
}
