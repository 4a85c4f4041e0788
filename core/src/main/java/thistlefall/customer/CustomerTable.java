package thistlefall.customer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The customers that a gateway remembers, at most a fixed number of them, since a client can name a new customer with
 * each request. Without a shortage a customer is forgotten when it has not been used for a while and a new state would
 * equal its own. At the limit, the one of some that loses least is forgotten: one whose units are full, else the one
 * whose units are full soonest, and one with unreported use only after all others. Its time until then is remembered,
 * so that a customer gains nothing by being forgotten. One that a request or a call depends on is never forgotten.
 *
 * <p>Times and durations are nanoseconds of one clock. Not thread-safe.
 *
 * @param <C> the state of a customer
 */
public final class CustomerTable<C extends RememberedCustomer> {
    /** Customers checked for each new one, so that memory follows the number of active customers. */
    private static final int CHECKED_FOR_EACH_NEW = 2;
    /** Customers compared at the limit. */
    private static final int COMPARED_AT_LIMIT = 64;

    private final int maxCustomers;
    private final long forgetAfter;
    /** The customer that was not checked for longest is first. */
    private final Map<Long, C> customers = new LinkedHashMap<>();

    private final RefillTimes quotaRefillTimes = new RefillTimes();
    private final RefillTimes ceilingRefillTimes = new RefillTimes();

    /**
     * An empty table.
     *
     * @param maxCustomers the most customers that it remembers
     * @param forgetAfter how long a customer is remembered after its last use if there is room
     */
    public CustomerTable(int maxCustomers, long forgetAfter) {
        this.maxCustomers = maxCustomers;
        this.forgetAfter = forgetAfter;
    }

    /** Returns the number of customers. */
    public int size() {
        return customers.size();
    }

    /** Returns the state of a customer; null if it is not remembered. */
    public C find(long key) {
        return customers.get(key);
    }

    /** Adds a customer, for which {@link #makeRoom} has made room. */
    public void add(C customer) {
        customers.put(customer.key(), customer);
    }

    /** Returns when the quota of a customer that is not remembered is full at the latest. */
    public long quotaFullAt(long key) {
        return quotaRefillTimes.find(key);
    }

    /** Returns when the part of the ceiling of a customer that is not remembered is full at the latest. */
    public long ceilingFullAt(long key) {
        return ceilingRefillTimes.find(key);
    }

    /** Makes room for one more customer; returns false if there is none, because all compared ones are in use. */
    public boolean makeRoom(long now) {
        for (int i = 0; i < CHECKED_FOR_EACH_NEW && !customers.isEmpty(); i++) {
            C oldest = takeOldest();
            if (!isUnusedAndFull(oldest, now)) {
                add(oldest);
            }
        }
        return customers.size() < maxCustomers || forgetOne(now);
    }

    private C takeOldest() {
        Iterator<C> iterator = customers.values().iterator();
        C oldest = iterator.next();
        iterator.remove();
        return oldest;
    }

    private boolean isUnusedAndFull(C customer, long now) {
        return now - customer.lastUsedAt() > forgetAfter
                && !customer.isInUse()
                && !customer.hasUnreportedUse()
                && customer.quotaFullAt(now) <= now
                && customer.ceilingFullAt(now) <= now;
    }

    private boolean forgetOne(long now) {
        C leastLoss = null;
        for (int i = Math.min(COMPARED_AT_LIMIT, customers.size()); i > 0; i--) {
            C candidate = takeOldest();
            add(candidate);
            if (!candidate.isInUse() && (leastLoss == null || losesLess(candidate, leastLoss, now))) {
                leastLoss = candidate;
            }
            if (leastLoss != null && !leastLoss.hasUnreportedUse() && fullAt(leastLoss, now) <= now) {
                break;
            }
        }
        if (leastLoss == null) {
            return false;
        }
        customers.remove(leastLoss.key());
        leastLoss.forgotten();
        quotaRefillTimes.record(leastLoss.key(), leastLoss.quotaFullAt(now));
        ceilingRefillTimes.record(leastLoss.key(), leastLoss.ceilingFullAt(now));
        return true;
    }

    private boolean losesLess(C customer, C other, long now) {
        return customer.hasUnreportedUse() == other.hasUnreportedUse()
                ? fullAt(customer, now) < fullAt(other, now)
                : !customer.hasUnreportedUse();
    }

    private long fullAt(C customer, long now) {
        return Math.max(now, Math.max(customer.quotaFullAt(now), customer.ceilingFullAt(now)));
    }
}
