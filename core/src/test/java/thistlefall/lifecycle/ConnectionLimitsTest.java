package thistlefall.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLimitsTest {
    private final ConnectionLimits limits = ConnectionLimits.of(48);

    @Test
    void connectionsBeyondTheMaximumAreAcceptedButNotServed() {
        assertTrue(limits.mayServe(47));
        assertFalse(limits.mayServe(48));
        assertEquals(4, limits.acceptCapacity(48, 0));
    }

    @Test
    void nothingIsAcceptedBeyondTheReserve() {
        assertEquals(0, limits.acceptCapacity(48, 4));
        assertEquals(0, limits.acceptCapacity(60, 4));
        assertEquals(1, limits.acceptCapacity(40, 11));
    }

    @Test
    void onlyARequestThatHasHadItsTimeGivesWayToConnectionsThatWait() {
        long waited = 100_000_001L;
        assertTrue(ConnectionLimits.mustGiveWay(waited, waited));
        assertFalse(ConnectionLimits.mustGiveWay(waited, 10_000_000L));
        assertFalse(ConnectionLimits.mustGiveWay(10_000_000L, waited));
    }
}
