package thistlefall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.RecordingHost.MS;
import static thistlefall.RecordingHost.SAFE;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Plan;

/**
 * Guards against units that accrue behind requests which wait in the queue: all of them together would be sent at once,
 * beyond what the ceiling or the quota holds at that moment.
 */
class WaitingUnitsTest {
    private static final double RATE = 8;
    private static final double BURST = 8;
    private static final long CUSTOMER = 1;
    private static final long OTHERS = 1_000;
    private static final long DEADLINE = 3_000 * MS;
    private static final long ACCRUAL_INTERVAL = 130 * MS;

    /** The store of a rule: it fills with time up to its burst, and each first attempt lowers it. */
    private static final class Store {
        private double level = BURST;
        private long levelAt;
        private double lowest = BURST;

        Store(long now) {
            levelAt = now;
        }

        void take(long now, double units) {
            level = Math.min(BURST, level + RATE * (now - levelAt) / 1e9) - units;
            levelAt = now;
            lowest = Math.min(lowest, level);
        }
    }

    private static RecordingHost hostFor(Plan plan) {
        RecordingHost host = new RecordingHost(plan, 1, 0, false).addServers(1);
        host.now += 10_000 * MS;
        return host;
    }

    private static String request(RecordingHost host, long customer) {
        return host.request(SAFE, 0, customer, 1, host.now + DEADLINE);
    }

    /** Has other customers take all places at the servers; returns their requests. */
    private static List<String> occupyServers(RecordingHost host) {
        List<String> occupying = new ArrayList<>();
        for (int i = 0; host.refusedIds.isEmpty(); i++) {
            String id = request(host, OTHERS + i);
            if (host.attemptsOf(id).isEmpty()) {
                return occupying;
            }
            occupying.add(id);
        }
        throw new AssertionError("refused: " + host.refusedIds);
    }

    /** Plays a burst and more requests that wait, then has everything sent; returns the lowest level of the store. */
    private static double lowestLevel(RecordingHost host) {
        List<String> occupying = occupyServers(host);
        for (int i = 0; i < BURST; i++) {
            request(host, CUSTOMER);
        }
        for (int i = 0; i < 4; i++) {
            host.advance(ACCRUAL_INTERVAL);
            request(host, CUSTOMER);
        }
        Store store = new Store(host.now);
        int alreadySent = host.sentAttempts.size();
        occupying.forEach(id -> host.endAttempt(id, Outcome.OK));
        for (int next = alreadySent; next < host.sentAttempts.size(); next++) {
            String id = host.sentAttempts.get(next).id();
            if (Integer.parseInt(id.substring(1)) > occupying.size()) {
                store.take(host.now, 1);
            }
            host.endAttempt(id, Outcome.OK);
        }
        assertTrue(host.sentAttempts.size() - alreadySent >= BURST, "what was inside the burst is sent");
        return store.lowest;
    }

    @Test
    void nothingAccruesUnderACeilingBehindRequestsThatWait() {
        Plan plan = new Plan(1_000, 1_000, 0, 1, 0, 1, RATE, BURST, 0);
        assertTrue(lowestLevel(hostFor(plan)) >= -1e-6);
    }

    @Test
    void nothingAccruesInAQuotaBehindRequestsThatWait() {
        Plan plan = new Plan(RATE, BURST, 0, 1, 0, 1, 0, 0, 0);
        assertTrue(lowestLevel(hostFor(plan)) >= -1e-6);
    }

    /** Where nothing waits, a customer inside its ceiling and its quota loses nothing. */
    @Test
    void customerWithinItsRateIsServedWhereNothingWaits() {
        RecordingHost host = hostFor(new Plan(RATE, BURST, 0, 1, 0, 1, RATE, BURST, 0));
        for (int i = 0; i < 40; i++) {
            String id = request(host, CUSTOMER);
            host.advance(20 * MS);
            host.endAttempt(id, Outcome.OK);
            host.advance(ACCRUAL_INTERVAL - 20 * MS);
        }
        assertEquals(List.of(), host.refusedIds);
    }

    /** A request that is refused while it waits gives back what it took, at once and whole. */
    @Test
    void refusedRequestsGiveTheirUnitsBack() {
        RecordingHost host = hostFor(new Plan(RATE, BURST, 0, 1, 0, 1, RATE, BURST, 0));
        List<String> occupying = occupyServers(host);
        for (int i = 0; i < BURST; i++) {
            request(host, CUSTOMER);
        }
        host.advance(DEADLINE);
        assertEquals(BURST, host.refusedIds.size() - 1, "with the one that found the servers occupied");
        occupying.forEach(id -> host.endAttempt(id, Outcome.OK));
        int alreadySent = host.sentAttempts.size();
        for (int i = 0; i < BURST; i++) {
            host.endAttempt(request(host, CUSTOMER), Outcome.OK);
        }
        assertEquals(BURST, host.sentAttempts.size() - alreadySent);
    }
}
