package thistlefall.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class QuotaStoreTest {
    private static final long SECOND = 1_000_000_000L;

    private static QuotaStore store() {
        return store(2 * SECOND);
    }

    private static QuotaStore store(long span) {
        return new QuotaStore(10, 20, 4, 4, span, 0, 0);
    }

    @Test
    void evenUseOfOthersBelowTheRateLeavesAFullStoreFull() {
        QuotaStore store = store(60 * SECOND);
        store.learn(0, 0, 1, 0, 0);
        for (int i = 1; i <= 20; i++) {
            long now = i * SECOND / 2;
            store.refill(now);
            store.learn(now, 3, 1, 0, 0);
            assertEquals(20, store.units(), 1e-6, "after " + i + " halves of a second");
        }
    }

    @Test
    void useThatMayHaveComeAllAtTheEndIsNotMadeGood() {
        QuotaStore store = store();
        store.learn(0, 0, 1, 0, 0);
        // Told in part only, and after a whole span.
        store.refill(2 * SECOND);
        store.learn(2 * SECOND, 8, 0.5, 0, 0);
        assertEquals(4, store.units(), 1e-6);
    }

    @Test
    void foreseenUseIsMadeGoodByNews() {
        QuotaStore store = store();
        store.learn(0, 0, 1, 0, 0);
        store.take(10);
        store.refill(SECOND / 2);
        store.learn(SECOND / 2, 5, 1, 0, 0);
        double before = store.units();
        store.refill(SECOND);
        assertTrue(store.units() < before + 5, "some use of the others is foreseen");
        // They used nothing.
        store.learn(SECOND, 0, 1, 0, 0);
        assertEquals(before + 5, store.units(), 1e-6);
    }

    @Test
    void theEndOfAWindowToldLateReplacesWhatWasForeseenOfIt() {
        QuotaStore store = store();
        store.learn(0, 0, 1, 0, 0);
        store.take(15);
        store.refill(SECOND);
        store.learn(SECOND, 6, 1, 0, 0);
        long began = 2 * SECOND;
        long now = began + SECOND / 10;
        store.refill(now);
        store.turn(now, began);
        store.learn(now, 1, 1, began, 0);
        double foreseen = store.units();
        // In the last second of the old window they used two units.
        store.closed(2);
        double exact = 5 + 10 * 2.1 - 6 - 1 - 2;
        assertEquals(exact, store.units(), 0.01);
        assertNotEquals(exact, foreseen, 0.01);
    }

    @Test
    void withoutNewsItIsDividedOnceButNeverBelowOneRequest() {
        QuotaStore store = store();
        store.divide();
        assertEquals(5, store.units());
        store.divide();
        assertEquals(5, store.units());
        QuotaStore many = new QuotaStore(10, 20, 400, 4, 2 * SECOND, 0, 0);
        many.divide();
        assertEquals(4, many.units(), "one request may go");
        assertTrue(many.deaf());
        many.learn(3 * SECOND, 6, 1, 2 * SECOND, 1);
        assertFalse(many.deaf());
        assertEquals(13, many.units(), 1e-6, "a full store less the window's totals");
    }

    @Test
    void itIsNeverFarBelowNothing() {
        QuotaStore store = store();
        store.learn(0, 0, 1, 0, 0);
        store.refill(SECOND / 10);
        store.learn(SECOND / 10, 500, 1, 0, 0);
        assertEquals(-4, store.units(), 1e-6);
    }
}
