package thistlefall.edge.loop;

import java.util.EnumMap;
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

    private final Map<Work, Long> totals = new EnumMap<>(Work.class);
    private long passes;
    private long currentPass;
    private long longestPass;

    LoopUsage() {
        for (Work work : Work.values()) {
            totals.put(work, 0L);
        }
    }

    /** Adds time of the current pass. */
    void add(Work work, long duration) {
        totals.merge(work, duration, Long::sum);
        currentPass += duration;
    }

    /** Ends the current pass; the next one begins. */
    void endPass() {
        passes++;
        longestPass = Math.max(longestPass, currentPass);
        currentPass = 0;
    }

    /** Adds the number of passes, the longest one and the time by kind of work, in microseconds, to a map of counts. */
    public void addTo(Map<String, Long> counts) {
        counts.put("loop_passes", passes);
        counts.put("loop_longest_pass_us", longestPass / NANOS_PER_MICRO);
        totals.forEach((work, total) ->
                counts.put("loop_" + work.name().toLowerCase(Locale.ROOT) + "_us", total / NANOS_PER_MICRO));
    }
}
