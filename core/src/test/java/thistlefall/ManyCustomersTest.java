package thistlefall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.RecordingHost.MS;
import static thistlefall.RecordingHost.SAFE;

import org.junit.jupiter.api.Test;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Plan;

/** Guards against memory that grows with customers that come once, and against what the bound could cost others. */
class ManyCustomersTest {
    private static final int REMEMBERED = 16_384;
    private static final double BURST = 4;
    private static final double CEILING_BURST = 6;
    /** So slow that nothing is regained in the course of a test. */
    private static final double RATE = 0.001;

    /** A gateway starts with nothing to spend under a ceiling. */
    private static final long TIME_TO_FILL = (long) (CEILING_BURST / RATE * 1000) * MS;

    private static final long REGULAR = 1;

    private final Plan plan = new Plan(RATE, BURST, 0, 1, 0, 1, RATE, CEILING_BURST, 0);
    private final RecordingHost host = new RecordingHost(plan, 1, 0, false).addServers(4);

    private void serveOnce(long customer) {
        String id = host.request(SAFE, 0, customer, 1, host.now + 3000 * MS);
        if (!host.attemptsOf(id).isEmpty()) {
            host.endAttempt(id, Outcome.OK);
        }
    }

    /** Each request names a customer that has never come before. */
    @Test
    void customersThatComeOnceAreBounded() {
        host.now += TIME_TO_FILL;
        for (int i = 0; i < 2 * REMEMBERED; i++) {
            host.sentAttempts.clear();
            serveOnce(1_000 + i);
        }
        assertTrue(host.gateway.rememberedCount() <= REMEMBERED + 4, "with the four servers");
        assertEquals(0, host.refusedIds.size());
    }

    /** A customer that was forgotten among many others must not get its burst a second time. */
    @Test
    void forgottenCustomerGetsNoFreshBurst() {
        host.now += TIME_TO_FILL;
        int served = burstOfRegularCustomer();
        for (int i = 0; i < 2 * REMEMBERED; i++) {
            host.sentAttempts.clear();
            serveOnce(1_000 + i);
        }
        served += burstOfRegularCustomer();
        assertTrue(served <= BURST, "served " + served + " with a burst of " + BURST);
    }

    private int burstOfRegularCustomer() {
        host.sentAttempts.clear();
        for (int i = 0; i < 10; i++) {
            serveOnce(REGULAR);
        }
        return host.sentAttempts.size();
    }
}
