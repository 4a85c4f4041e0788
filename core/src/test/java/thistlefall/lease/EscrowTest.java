package thistlefall.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EscrowTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final Figures FIGURES = Figures.of(12, 36, 30, true);

    private final Map<Long, Double> counter = new HashMap<>();
    private long now = 1_000 * SECOND;

    private Escrow escrow() {
        return new Escrow(FIGURES, 7, now);
    }

    /** Carries out a call at once. */
    private void answer(Escrow escrow, Escrow.Call call) {
        double total = counter.merge(call.name(), call.amount(), Double::sum);
        escrow.ended(now, call.serial(), true, total);
    }

    /** Asks until units can be spent; the milliseconds that took, -1 for more than two seconds. */
    private int borrow(Escrow escrow, double units) {
        for (int ms = 0; ms < 2_000; ms++, now += MS) {
            if (escrow.spend(now, units) >= 0) {
                return ms;
            }
            Escrow.Call call = escrow.next(now, units, () -> true);
            if (call != null) {
                answer(escrow, call);
            }
        }
        return -1;
    }

    @Test
    void keptAndLentPartsAreTheCeiling() {
        for (int gateways : new int[] {2, 3, 7, 30, 510}) {
            Figures f = Figures.of(12, 36, gateways, true);
            assertEquals(12, gateways * f.keptRate() + f.lentRate(), 1e-9);
            double held = f.lentRate() * (f.life() + Escrow.GUARD) / 1e9;
            assertEquals(36, gateways * f.keptBurst() + f.lentBurst() + held, 1e-9);
        }
        Figures fixed = Figures.of(12, 36, 4, false);
        assertEquals(3, fixed.keptRate());
        assertEquals(9, fixed.keptBurst());
        assertTrue(!fixed.lends() && !Figures.of(12, 36, 1, true).lends());
    }

    @Test
    void anAccountBeginsWithNothingAndGainsItsRate() {
        Escrow escrow = escrow();
        int first = borrow(escrow, 4);
        assertTrue(first >= 1_000 * 4 / 12 - 50 && first < 450, "4 units of 11.4 a second after ms: " + first);
        now += 500 * MS;
        assertTrue(borrow(escrow, 4) <= 4, "gained meanwhile");
    }

    @Test
    void anIdleAccountHoldsItsBurstAndNoMore() {
        Escrow escrow = escrow();
        borrow(escrow, 1);
        now += 9 * SECOND;
        double spent = 0;
        long from = now;
        for (int ms = borrow(escrow, 1); ms >= 0 && ms <= 8; ms = borrow(escrow, 1)) {
            spent++;
        }
        assertTrue(spent >= 25, "units of a burst: " + spent);
        assertTrue(spent <= 36 + 12 * (now - from) / 1e9, "never above the ceiling: " + spent);
    }

    @Test
    void whatIsLeftOfAnAccountGoesOverToTheNextOnce() {
        Escrow escrow = escrow();
        borrow(escrow, 1);
        // Across the end of its period.
        now += FIGURES.period();
        int spent = 0;
        while (borrow(escrow, 1) <= 6) {
            spent++;
        }
        assertTrue(spent >= 20, "carried over: " + spent);
        Escrow other = escrow();
        assertTrue(borrow(other, 4) > 100, "a second one finds nothing left over");
    }

    @Test
    void aDrawThatIsNotCoveredKeepsItsPlace() {
        Escrow one = escrow();
        Escrow two = escrow();
        borrow(one, 1);
        now += 700 * MS;
        borrow(one, 6);
        long from = now;
        assertTrue(borrow(two, 4) >= 0);
        double waited = (now - from) / 1e9;
        assertTrue(waited < 0.5, "s: " + waited);
    }

    @Test
    void aLostAccountLendsNothingUntilItIsBegunAnew() {
        Escrow escrow = escrow();
        borrow(escrow, 1);
        now += 5 * SECOND;
        assertTrue(borrow(escrow, 8) <= 6);
        counter.clear();
        assertTrue(borrow(escrow, 8) > 500, "from nothing");
    }

    @Test
    void aLateOrMissingAnswerLendsNothing() {
        Escrow escrow = escrow();
        borrow(escrow, 1);
        now += 3 * SECOND;
        Escrow.Call call = escrow.next(now, 4, () -> true);
        assertNotNull(call);
        assertNull(escrow.next(now, 4, () -> true), "one at a time");
        double total = counter.merge(call.name(), call.amount(), Double::sum);
        escrow.ended(now + 50 * MS, call.serial(), false, 0);
        escrow.ended(now + 60 * MS, call.serial(), true, total);
        assertEquals(-1, escrow.spend(now + 60 * MS, 4));
        assertNull(escrow.next(now + 60 * MS, 4, () -> true), "it rests after silence");
        now += 400 * MS;
        assertTrue(borrow(escrow, 4) < 10);
    }

    @Test
    void aLeaseRunsOut() {
        Escrow escrow = escrow();
        borrow(escrow, 1);
        now += 3 * SECOND;
        Escrow.Call call = escrow.next(now, 8, () -> true);
        answer(escrow, call);
        now += FIGURES.life();
        assertEquals(-1, escrow.spend(now, 8));
    }

    @Test
    void anAccountLeftHalfBegunIsBegunAnew() {
        Escrow dead = escrow();
        for (int step = 0; step < 3; step++) {
            Escrow.Call call = dead.next(now, 4, () -> true);
            if (step < 2) {
                answer(dead, call);
            } else {
                // Its mark is carried out, and it dies before the confirmation.
                counter.merge(call.name(), call.amount(), Double::sum);
            }
        }
        int after = borrow(escrow(), 4);
        assertTrue(after > 0 && after < 1_500, "ms: " + after);
    }

    @Test
    void aCallThatNobodyEndsIsGivenUp() {
        Escrow escrow = escrow();
        assertNotNull(escrow.next(now, 4, () -> true));
        now += 999 * MS;
        assertNull(escrow.next(now, 4, () -> true));
        now += 2 * MS;
        assertNotNull(escrow.next(now, 4, () -> true));
    }

    @Test
    void aCallThatMayNotBeMadeChangesNothing() {
        Escrow escrow = escrow();
        assertNull(escrow.next(now, 4, () -> false));
        assertNotNull(escrow.next(now, 4, () -> true));
    }
}
