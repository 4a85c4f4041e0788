package thistlefall.standin.simulation;

import java.util.PriorityQueue;

/**
 * Scheduler with a virtual clock that jumps from task to task; times are in nanoseconds. Tasks due at the same time
 * run in the order in which they were scheduled. Not thread-safe.
 */
final class VirtualTimeScheduler {
    private record ScheduledTask(long at, long order, Runnable action) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private long now;
    private long nextOrder;

    VirtualTimeScheduler(long start) {
        now = start;
    }

    long now() {
        return now;
    }

    void after(long delay, Runnable action) {
        tasks.add(new ScheduledTask(now + Math.max(0, delay), nextOrder++, action));
    }

    void at(long time, Runnable action) {
        after(time - now, action);
    }

    /** Runs all tasks that are due up to the given time. */
    void runUntil(long until) {
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            ScheduledTask task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = Math.max(now, until);
    }
}
