package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistlefall.timer.TimingWheel;

/**
 * Timers of one event loop on a timing wheel: cheap to schedule and cancel, accurate to a few milliseconds. Confined to
 * the event loop; durations are in nanoseconds.
 */
final class EventLoopTimer {
    private static final long TICK_NANOS = 10_000_000L;
    private static final long STALL_THRESHOLD_NANOS = 30_000_000L;

    private final TimingWheel<Runnable> timingWheel;
    private final Future<?> tickFuture;
    private long lastTickAt = System.nanoTime();

    /** Starts a timer that runs expired actions and then {@code afterTick} every ten milliseconds. */
    EventLoopTimer(EventLoop eventLoop, Runnable afterTick) {
        timingWheel = new TimingWheel<>(TICK_NANOS, 4096, System.nanoTime());
        tickFuture = eventLoop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    lastTickAt = now;
                    timingWheel.expire(now, Runnable::run);
                    afterTick.run();
                },
                TICK_NANOS,
                TICK_NANOS,
                TimeUnit.NANOSECONDS);
    }

    TimingWheel.ScheduledTimeout<Runnable> schedule(long delay, Runnable action) {
        return timingWheel.add(action, System.nanoTime() + Math.max(0, delay));
    }

    void cancel(TimingWheel.ScheduledTimeout<Runnable> timeout) {
        timingWheel.cancel(timeout);
    }

    /**
     * Returns the earliest time at which data read now can have arrived. After a stall of the event loop (a garbage
     * collection, a blocking call) it may have been in the socket since the last tick.
     */
    long earliestArrival() {
        return isStalled() ? lastTickAt : System.nanoTime();
    }

    /** Whether the event loop was stalled: its tick is long overdue. */
    boolean isStalled() {
        return System.nanoTime() - lastTickAt > STALL_THRESHOLD_NANOS;
    }

    void stop() {
        tickFuture.cancel(false);
    }
}
