package thistlefall.customer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a table that grows with every customer that a client names, and against what forgetting may cost. */
class CustomerTableTest {
    private static final int MAX_CUSTOMERS = 8;
    private static final long FORGET_AFTER = 100;

    /** A customer whose state the test sets. */
    private static final class TestCustomer implements RememberedCustomer {
        private final long key;
        private boolean inUse;
        private boolean unreported;
        private boolean forgotten;
        private long lastUsedAt;
        private long quotaFullAt;
        private long ceilingFullAt;

        TestCustomer(long key) {
            this.key = key;
        }

        @Override
        public long key() {
            return key;
        }

        @Override
        public boolean isInUse() {
            return inUse;
        }

        @Override
        public boolean hasUnreportedUse() {
            return unreported;
        }

        @Override
        public long lastUsedAt() {
            return lastUsedAt;
        }

        @Override
        public long quotaFullAt(long now) {
            return quotaFullAt;
        }

        @Override
        public long ceilingFullAt(long now) {
            return ceilingFullAt;
        }

        @Override
        public void forgotten() {
            forgotten = true;
        }
    }

    private final CustomerTable<TestCustomer> table = new CustomerTable<>(MAX_CUSTOMERS, FORGET_AFTER);

    private TestCustomer add(long key) {
        var customer = new TestCustomer(key);
        assertTrue(table.makeRoom(0));
        table.add(customer);
        return customer;
    }

    private TestCustomer[] fill() {
        var customers = new TestCustomer[MAX_CUSTOMERS];
        for (int i = 0; i < MAX_CUSTOMERS; i++) {
            customers[i] = add(i);
            customers[i].quotaFullAt = 1_000 + i;
        }
        return customers;
    }

    @Test
    void tableNeverExceedsItsLimit() {
        for (int i = 0; i < 10 * MAX_CUSTOMERS; i++) {
            add(i).quotaFullAt = 1_000;
            assertTrue(table.size() <= MAX_CUSTOMERS);
        }
    }

    @Test
    void withoutAShortageCustomersAreForgottenOnlyWhenFullAndUnusedForAWhile() {
        TestCustomer full = add(1);
        TestCustomer used = add(2);
        used.quotaFullAt = 1_000;
        assertTrue(table.makeRoom(FORGET_AFTER));
        assertEquals(2, table.size());
        assertTrue(table.makeRoom(FORGET_AFTER + 1));
        assertNull(table.find(full.key));
        assertNotNull(table.find(used.key));
    }

    /** The customer that loses least goes first: full before nearly full, unreported use last. */
    @Test
    void customerThatLosesLeastIsForgottenFirst() {
        TestCustomer[] customers = fill();
        customers[5].quotaFullAt = 0;
        customers[5].unreported = true;
        customers[6].quotaFullAt = 0;
        assertTrue(table.makeRoom(0));
        assertTrue(customers[6].forgotten);
        add(100).quotaFullAt = 5_000;
        assertTrue(table.makeRoom(0));
        assertTrue(customers[0].forgotten, "the one that is full soonest");
        assertNotNull(table.find(5), "the use of this one has not been reported");
    }

    /** A request in flight is never lost: if all customers are in use, there is no room. */
    @Test
    void customersInUseAreKept() {
        for (TestCustomer customer : fill()) {
            customer.inUse = true;
        }
        assertFalse(table.makeRoom(0));
        assertEquals(MAX_CUSTOMERS, table.size());
    }

    /** A forgotten customer starts no fuller than it was, also where it shares a slot with another. */
    @Test
    void forgettingIsRemembered() {
        for (TestCustomer customer : fill()) {
            customer.ceilingFullAt = 2_000 + customer.key;
        }
        assertTrue(table.makeRoom(0));
        assertTrue(table.quotaFullAt(0) >= 1_000);
        assertTrue(table.ceilingFullAt(0) >= 2_000);
        assertEquals(Long.MIN_VALUE, table.quotaFullAt(1), "one that was not forgotten");
    }
}
