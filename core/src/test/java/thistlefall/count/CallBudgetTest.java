package thistlefall.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CallBudgetTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 50 * MS;

    /** A counter with one line, and gateways that want as many calls as they may make. */
    private static final class Line {
        private final double perSecond;
        private final long way;
        private final List<CallBudget> budgets = new ArrayList<>();
        private final ArrayDeque<long[]> out = new ArrayDeque<>();
        private long now = SECOND;
        private double freeAt;
        private long worst;
        private int made;

        private Line(int gateways, double perSecond, long way) {
            this.perSecond = perSecond;
            this.way = way;
            var random = new SplittableRandom(7);
            for (int i = 0; i < gateways; i++) {
                budgets.add(new CallBudget(gateways, TIMEOUT, random.nextDouble(), now));
            }
        }

        /** Lets time pass in milliseconds; each gateway wants a call each so often. */
        private void run(long span, int wantEvery) {
            for (long until = now + span; now < until; now += MS) {
                while (!out.isEmpty() && out.peek()[0] <= now) {
                    long[] end = out.poll();
                    boolean answered = end[2] < TIMEOUT;
                    budgets.get((int) end[1]).ended(now, Math.min(end[2], TIMEOUT), answered);
                }
                for (int i = 0; i < budgets.size(); i++) {
                    if ((now / MS + i) % wantEvery == 0 && budgets.get(i).take(now, 2, false)) {
                        made++;
                        freeAt = Math.max(freeAt, now) + SECOND / perSecond;
                        long took = (long) freeAt - now + way;
                        worst = Math.max(worst, took);
                        out.add(new long[] {now + Math.min(took, TIMEOUT), i, took});
                    }
                }
            }
        }
    }

    @Test
    void threeGatewaysAndAQuickCounterHaveAllTheyWantInASecond() {
        Line line = new Line(3, 50_000, MS / 5);
        line.run(SECOND, 5);
        assertTrue(line.made > 540, "of 600 wanted: " + line.made);
    }

    @Test
    void aRateThatIsTooLowFindsTheCapacityInSeconds() {
        // A part of 600 calls for two, 4,000 wanted and possible.
        Line line = new Line(2, 20_000, MS / 5);
        line.run(3 * SECOND, 1);
        int before = line.made;
        line.run(SECOND, 1);
        assertTrue(line.made - before > 1_600, "calls in the fourth second: " + (line.made - before));
    }

    @Test
    void fourHundredThatStartTogetherDoNotRunOverACounterOf1500() {
        Line line = new Line(400, 1_500, MS);
        line.run(2 * SECOND, 20);
        line.worst = 0;
        line.made = 0;
        line.run(20 * SECOND, 20);
        assertTrue(line.worst < TIMEOUT, "longest answer in ms: " + line.worst / MS);
        assertTrue(line.made > 20 * 700, "calls a second: " + line.made / 20);
    }

    @Test
    void aCounterThatGrowsSlowIsBackedOffFrom() {
        var budget = new CallBudget(3, TIMEOUT, 1, 0);
        double first = budget.rate();
        long now = 0;
        for (int i = 0; i < 200; i++) {
            now += 20 * MS;
            if (budget.take(now, 2, false)) {
                budget.ended(now, MS / 5 + i * MS / 4, true);
            }
        }
        assertTrue(budget.rate() < first / 4, "rate at 45 ms: " + budget.rate());
    }

    @Test
    void oneOverloadIsPaidForOnceInAStep() {
        var budget = new CallBudget(1, TIMEOUT, 1, 0);
        for (int i = 0; i < 3; i++) {
            assertTrue(budget.take(SECOND, 2, false));
        }
        budget.ended(SECOND, TIMEOUT, false);
        double once = budget.rate();
        budget.ended(SECOND + MS, TIMEOUT, false);
        budget.ended(SECOND + 2 * MS, TIMEOUT, false);
        assertEquals(once, budget.rate());
        assertEquals(0, budget.out());
    }

    @Test
    void aSilentCounterIsAskedOnceASecondAndManyUnansweredCallsAreEnough() {
        var silent = new CallBudget(1, TIMEOUT, 0, 0);
        int made = 0;
        for (long now = 0; now < 10 * SECOND; now += 10 * MS) {
            if (silent.take(now, 2, true)) {
                made++;
                silent.ended(now, TIMEOUT, false);
            }
        }
        assertTrue(made >= 9 && made <= 11, "calls in ten seconds: " + made);
        var crowded = new CallBudget(600, TIMEOUT, 1, 0);
        int out = 0;
        for (long now = 0; now < 60 * SECOND; now += 10 * MS) {
            out += crowded.take(now, 2, false) ? 1 : 0;
        }
        assertTrue(out <= 3, "unanswered calls at one a second: " + out);
        assertTrue(crowded.scarce(60 * SECOND));
        assertFalse(new CallBudget(1, TIMEOUT, 1, 0).scarce(0));
    }
}
