package thistlefall.lease;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.BooleanSupplier;

/**
 * Requests of one customer that wait for units under its ceiling. They are served in order, so that small requests do
 * not overtake a large one forever, and they stop waiting once the missing units can't arrive in time. Times are
 * nanoseconds. Not thread-safe.
 */
public final class LeaseWaitQueue {
    private final ArrayDeque<LeaseWaiter> waiters = new ArrayDeque<>(0);

    /** Adds a request to the end of the queue. */
    public void add(LeaseWaiter waiter) {
        waiters.add(waiter);
    }

    /** Returns whether no request waits. */
    public boolean isEmpty() {
        return waiters.isEmpty();
    }

    /**
     * Ends the wait of requests that can be served now and of those that can't be served in time. The others need a
     * call to the counter.
     *
     * @param mayCall asked only when there is a call to make; returns whether it may be made
     * @return the call to make now; null for none
     */
    public CeilingLease.LeaseCall serve(long now, CeilingLease lease, BooleanSupplier mayCall) {
        double missingUnits = 0;
        ArrayDeque<Runnable> completions = new ArrayDeque<>(0);
        for (Iterator<LeaseWaiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            LeaseWaiter waiter = iterator.next();
            double units = waiter.units();
            boolean stillWaiting = waiter.waitDeadline() > now;
            CeilingLease.Grant grant = stillWaiting && missingUnits == 0 ? lease.grant(now, units) : null;
            long estimatedWait = lease.timeUntilAvailable(now, missingUnits + units);
            if (grant != null || !stillWaiting || waiter.waitDeadline() - now <= estimatedWait) {
                iterator.remove();
                completions.add(() -> waiter.waitEnded(grant, estimatedWait));
            } else {
                missingUnits += units;
            }
        }
        CeilingLease.LeaseCall call =
                missingUnits > 0 || lease.hasUnfinishedOperation() ? lease.nextCall(now, missingUnits, mayCall) : null;
        // The callbacks run last because they may use this queue and the lease again.
        completions.forEach(Runnable::run);
        return call;
    }
}
