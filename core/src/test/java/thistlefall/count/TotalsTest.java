package thistlefall.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TotalsTest {
    private static final long SPAN = 2_000_000_000L;

    @Test
    void gatewaysAgreeOnNamesAndCustomersHaveTheirOwn() {
        Totals one = new Totals(7, SPAN);
        Totals other = new Totals(7, SPAN);
        one.turn(100 * SPAN);
        other.turn(100 * SPAN + 1);
        assertEquals(one.name(one.present()), other.name(other.present()));
        assertNotEquals(one.name(one.present()), one.name(one.present() + 1));
        assertNotEquals(one.name(5), new Totals(8, SPAN).name(5));
        assertTrue(one.name(one.present()) >= 0);
    }

    @Test
    void whatTheOthersToldIsNewsOnce() {
        Totals totals = new Totals(7, SPAN);
        totals.turn(0);
        long window = totals.present();
        totals.told(window, 3);
        assertEquals(4, totals.news(window, 7, 3, 10));
        totals.told(window, 0);
        assertEquals(0, totals.news(window, 7, 0, 10));
        totals.told(window, 2);
        assertEquals(1, totals.news(window, 10, 2, 10));
        assertEquals(5, totals.mine());
    }

    @Test
    void aLossIsNoNewsOfNegativeUse() {
        Totals totals = new Totals(7, SPAN);
        totals.turn(0);
        long window = totals.present();
        totals.told(window, 8);
        totals.news(window, 20, 8, 5);
        totals.told(window, 1);
        // Emptied, then one by an other and one by this gateway.
        assertEquals(1, totals.news(window, 2, 1, 5));
        assertEquals(1, totals.mine(), "what was told before the loss is gone");
    }

    @Test
    void theWindowBeforeIsKeptAndNoOther() {
        Totals totals = new Totals(7, SPAN);
        totals.turn(10 * SPAN);
        long first = totals.present();
        totals.told(first, 3);
        totals.news(first, 5, 3, 10);
        assertTrue(totals.turn(11 * SPAN));
        assertEquals(first, totals.before());
        assertEquals(4, totals.news(first, 9, 0, 10), "the end of the last window");
        assertEquals(0, totals.mine());
        assertFalse(totals.turn(13 * SPAN), "one was left out: nothing is known of the one before");
        assertFalse(totals.knows(first));
    }
}
