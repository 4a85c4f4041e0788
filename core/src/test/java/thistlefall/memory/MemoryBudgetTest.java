package thistlefall.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MemoryBudgetTest {
    private static final long LIMIT = 8 << 20;

    /** Grows accounts in turn, each as long as it may, and returns what they hold. */
    private static List<MemoryBudget.Account> fill(MemoryBudget budget, int connections, long stepBytes) {
        List<MemoryBudget.Account> accounts = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            accounts.add(budget.openAccount());
        }
        boolean anyGrew = true;
        while (anyGrew) {
            anyGrew = false;
            for (MemoryBudget.Account account : accounts) {
                if (account.tryGrow(stepBytes)) {
                    account.setHeld(account.held() + stepBytes);
                    anyGrew = true;
                }
            }
        }
        return accounts;
    }

    /** However many connections take what they may, they share evenly, the limit holds and a newcomer gets as much. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 10, 100, 300, 600, 1_000})
    void leavesMemoryForANewcomer(int connections) {
        for (long stepBytes : new long[] {100, 512, 4_000}) {
            var budget = new MemoryBudget(LIMIT);
            var held = fill(budget, connections, stepBytes).stream()
                    .mapToLong(MemoryBudget.Account::held)
                    .summaryStatistics();
            assertTrue(budget.held() < LIMIT);
            assertTrue(held.getMax() - held.getMin() <= stepBytes, held.toString());
            // The last step of another connection lowers the threshold by a sixteenth of the step.
            long newcomerBytes = held.getMax() - stepBytes / 16 - 1;
            assertTrue(budget.openAccount().tryGrow(newcomerBytes), held + " " + budget.threshold());
        }
    }

    /** What accounts report is what the budget holds, in whatever order they change and close. */
    @Test
    void totalIsTheSumOfTheOpenAccounts() {
        var random = new SplittableRandom(7);
        var budget = new MemoryBudget(LIMIT);
        List<MemoryBudget.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            int index = random.nextInt(50);
            if (index >= accounts.size()) {
                accounts.add(budget.openAccount());
            } else if (random.nextInt(5) == 0) {
                accounts.remove(index).close();
            } else {
                accounts.get(index).setHeld(random.nextInt(100_000));
            }
            long expected =
                    accounts.stream().mapToLong(MemoryBudget.Account::held).sum();
            assertEquals(expected, budget.held());
        }
    }

    @Test
    void singleConnectionMayHoldALongBodyWhileLittleIsUsed() {
        assertTrue(new MemoryBudget(LIMIT).openAccount().tryGrow(64 * 1024));
    }

    @Test
    void shortageIsReportedOnce() {
        var budget = new MemoryBudget(LIMIT);
        MemoryBudget.Account account = budget.openAccount();
        account.setHeld(LIMIT + 1);
        assertTrue(account.exceedsThreshold());
        assertFalse(account.tryGrow(1));
        assertTrue(budget.takeShortage());
        assertFalse(budget.takeShortage());
    }

    /** The last reports of a connection may come after its end and must not count. */
    @Test
    void closedAccountStaysEmpty() {
        var budget = new MemoryBudget(LIMIT);
        MemoryBudget.Account account = budget.openAccount();
        account.setHeld(10);
        account.close();
        account.setHeld(20);
        assertEquals(0, budget.held());
        assertEquals(10, budget.peak());
    }
}
