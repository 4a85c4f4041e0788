package thistlefall.turn;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Those that wait for a turn, in the order in which they began to wait. Each waits at most once, so the queue is
 * bounded by their number. Only a bounded time is given to all of them together before everything else has its turn
 * again. Times are nanoseconds of one clock. Not thread-safe.
 *
 * @param <T> what waits; compared by identity or equality
 */
public final class TurnQueue<T> {
    /** Takes the turn of a member. */
    public interface TurnTaker<T> {
        /** Handles the next part of what the member has to do; the member may join the queue again. */
        void takeTurn(T member);
    }

    /** The time for all turns between two polls of the sockets, except that the last turn is completed. */
    static final long MAX_ROUND = 1_000_000L;

    private final Set<T> waiting = new LinkedHashSet<>();

    /** Joins the queue at its end, unless the member waits already. */
    public void add(T member) {
        waiting.add(member);
    }

    /** Leaves the queue. */
    public void remove(T member) {
        waiting.remove(member);
    }

    /** Returns whether nobody waits. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Gives turns to those that have waited longest until the time of this round is over. */
    public void runRound(LongSupplier clock, TurnTaker<T> turnTaker) {
        long beganAt = clock.getAsLong();
        while (!waiting.isEmpty() && clock.getAsLong() - beganAt < MAX_ROUND) {
            T next = waiting.iterator().next();
            waiting.remove(next);
            turnTaker.takeTurn(next);
        }
    }
}
