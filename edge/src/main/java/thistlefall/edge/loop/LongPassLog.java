package thistlefall.edge.loop;

import org.slf4j.Logger;
import thistlefall.edge.loop.LoopUsage.Work;

/**
 * Logs passes of an event loop that took so long that timers and answers were late, at most one a second. A pause of
 * the process or of the machine counts as work of the pass that it fell into. Used on the event loop; durations are in
 * nanoseconds.
 */
final class LongPassLog {
    private static final long LONG_PASS = 100_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String nodeName;
    private final Logger log;
    private final LogInterval logInterval = new LogInterval();

    LongPassLog(String nodeName, Logger log) {
        this.nodeName = nodeName;
        this.log = log;
    }

    void passEnded(long duration, LoopUsage usage) {
        if (duration < LONG_PASS || !logInterval.tryLog()) {
            return;
        }
        log.atWarn()
                .addKeyValue("node", nodeName)
                .addKeyValue("sockets_ms", usage.inCurrentPass(Work.SOCKETS) / NANOS_PER_MILLI)
                .addKeyValue("tasks_ms", usage.inCurrentPass(Work.TASKS) / NANOS_PER_MILLI)
                .addKeyValue("waiting_input_ms", usage.inCurrentPass(Work.WAITING_INPUT) / NANOS_PER_MILLI)
                .log("long pass of the event loop");
    }
}
