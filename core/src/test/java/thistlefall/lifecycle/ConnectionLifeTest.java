package thistlefall.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLifeTest {
    private final ConnectionLife life = new ConnectionLife();

    @Test
    void anIdleOneIsShutAtOnceAndTakesNothingMore() {
        assertTrue(life.takes());
        assertFalse(life.shutsNow(0), "nobody wants it to end");
        life.end();
        assertTrue(life.shutsNow(0));
        assertFalse(life.takes());
        assertFalse(life.shutsNow(0), "once");
    }

    @Test
    void whatHasBeenTakenIsAnsweredFirst() {
        life.end();
        assertFalse(life.shutsNow(2));
        assertTrue(life.takes(), "the client does not know yet");
        assertFalse(life.announces(false, 1), "another is owed its answer behind this one");
        assertFalse(life.shutsNow(1));
        assertTrue(life.announces(false, 0));
        assertTrue(life.shutsNow(0));
    }

    @Test
    void theClientsLastRequestEndsIt() {
        life.lastTaken();
        assertFalse(life.takes());
        assertFalse(life.announces(false, 1));
        assertFalse(life.shutsNow(1), "it is still owed answers");
        assertTrue(life.announces(true, 0));
        assertTrue(life.shutsNow(0));
    }

    @Test
    void whatCannotBeWholeEndsItWhateverIsBehind() {
        assertTrue(life.announces(true, 3));
        assertTrue(life.shutsNow(3));
        assertFalse(life.takes());
    }
}
