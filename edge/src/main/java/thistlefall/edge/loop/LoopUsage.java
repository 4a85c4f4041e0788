package thistlefall.edge.loop;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/**
 * What an event loop spends its time on. One pass of the loop polls the sockets, handles those that are ready, then
 * runs due timers and other tasks, then handles a part of the input that waits. Written on the event loop only; other
 * threads may read slightly stale values. Durations are in nanoseconds.
 */
public final class LoopUsage {
    /** A kind of work. */
    public enum Work {
        /** Handling sockets that are ready; waiting for them is not included. */
        SOCKETS,
        /** Due timers and other tasks. */
        TASKS,
        /** Input of clients that have sent more than their turn allows. */
        WAITING_INPUT
    }

    private static final long NANOS_PER_MICRO = 1_000L;

    private final long[] totals = new long[Work.values().length];
    private final long[] currentPass = new long[Work.values().length];
    private final LongPassLog longPassLog;
    private long passes;
    private long longestPass;

    LoopUsage(LongPassLog longPassLog) {
        this.longPassLog = longPassLog;
    }

    /** Adds time of the current pass. */
    void add(Work work, long duration) {
        totals[work.ordinal()] += duration;
        currentPass[work.ordinal()] += duration;
    }

    /** Returns the time that the current pass has spent on a kind of work. */
    long inCurrentPass(Work work) {
        return currentPass[work.ordinal()];
    }

    /** Ends the current pass; the next one begins. */
    void endPass() {
        passes++;
        long duration = 0;
        for (long workDuration : currentPass) {
            duration += workDuration;
        }
        longestPass = Math.max(longestPass, duration);
        longPassLog.passEnded(duration, this);
        Arrays.fill(currentPass, 0);
    }

    /** Adds the number of passes, the longest one and the time by kind of work, in microseconds, to a map of counts. */
    public void addTo(Map<String, Long> counts) {
        counts.put("loop_passes", passes);
        counts.put("loop_longest_pass_us", longestPass / NANOS_PER_MICRO);
        for (Work work : Work.values()) {
            counts.put(
                    "loop_" + work.name().toLowerCase(Locale.ROOT) + "_us", totals[work.ordinal()] / NANOS_PER_MICRO);
        }
    }
}
