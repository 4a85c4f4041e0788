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
        assertTrue(limits.needsRoom(48));
        assertEquals(4, limits.acceptCapacity(48, 0));
    }

    @Test
    void nothingIsAcceptedBeyondTheReserve() {
        assertEquals(0, limits.acceptCapacity(48, 4));
        assertEquals(0, limits.acceptCapacity(60, 4));
        assertEquals(1, limits.acceptCapacity(40, 11));
    }
}
