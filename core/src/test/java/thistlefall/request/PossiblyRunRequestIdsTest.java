package thistlefall.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PossiblyRunRequestIdsTest {
    private static final int LIMIT = 4;

    private final PossiblyRunRequestIds ids = new PossiblyRunRequestIds(LIMIT);

    /** Clients that leave in masses must not make the node forget what may run twice. */
    @Test
    void noUnservedIdIsDroppedAtTheLimit() {
        for (int i = 0; i <= LIMIT; i++) {
            assertEquals(i >= LIMIT, ids.isFull());
            ids.addUnserved("u" + i, 100);
            ids.addServed("s" + i, 100);
        }
        for (int i = 0; i <= LIMIT; i++) {
            assertTrue(ids.contains("u" + i, 99));
        }
        assertFalse(ids.contains("s0", 99), "the oldest served id has made room");
        assertTrue(ids.contains("s1", 99));
    }

    @Test
    void idsAreForgottenAfterTheirTime() {
        ids.addUnserved("a", 100);
        ids.addServed("b", 100);
        assertFalse(ids.contains("a", 100));
        assertFalse(ids.contains("b", 100));
        for (int i = 1; i < LIMIT; i++) {
            ids.addUnserved("u" + i, 100);
        }
        assertTrue(ids.isFull());
        ids.expire(100);
        assertFalse(ids.isFull());
    }
}
