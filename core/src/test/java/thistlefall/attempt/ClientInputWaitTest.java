package thistlefall.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClientInputWaitTest {
    private final ClientInputWait wait = new ClientInputWait();

    @Test
    void waitsOfAllAttemptsShareOneBound() {
        assertEquals(ClientInputWait.MAX_TOTAL, wait.begin(0));
        assertTrue(wait.isWaiting());
        wait.end(20_000_000);
        assertFalse(wait.isWaiting());
        assertEquals(ClientInputWait.MAX_TOTAL - 20_000_000, wait.begin(100_000_000));
        wait.end(140_000_000);
        assertEquals(60_000_000, wait.total());
        assertEquals(0, wait.begin(200_000_000));
        assertFalse(wait.isWaiting());
    }

    @Test
    void endOfNoWaitChangesNothing() {
        wait.end(50_000_000);
        assertEquals(0, wait.total());
    }
}
