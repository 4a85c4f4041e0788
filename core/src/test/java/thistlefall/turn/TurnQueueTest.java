package thistlefall.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TurnQueueTest {
    private long now;

    /** Guards against members that keep the queue to themselves because they always have more to do. */
    @Test
    void membersTakeTurnsAndARoundIsBounded() {
        var queue = new TurnQueue<String>();
        List<String> turns = new ArrayList<>();
        queue.add("loud");
        queue.add("louder");
        queue.add("loud");
        queue.runRound(() -> now, member -> {
            turns.add(member);
            now += TurnQueue.MAX_ROUND / 4;
            queue.add(member);
        });
        assertEquals(List.of("loud", "louder", "loud", "louder"), turns);
        assertFalse(queue.isEmpty());
    }

    @Test
    void roundEndsWhenNobodyWaits() {
        var queue = new TurnQueue<String>();
        queue.add("left");
        queue.add("waiting");
        queue.remove("left");
        queue.runRound(() -> now, member -> assertEquals("waiting", member));
        assertTrue(queue.isEmpty());
    }

    @Test
    void turnAfterReadEndsWithItsFirstRequest() {
        var turn = new InputTurn();
        turn.beginAfterRead(0);
        assertTrue(turn.mayTakeStep(0), "a head and its body may take several steps");
        turn.requestHandled();
        assertFalse(turn.mayTakeStep(0));
    }

    /** Guards against input that waits without progress because the process was held up within its turn. */
    @Test
    void firstStepIsTakenHoweverLateItIs() {
        var turn = new InputTurn();
        turn.beginAfterRead(0);
        assertTrue(turn.mayTakeStep(10 * InputTurn.MAX_DURATION));
        turn.beginAfterWait(0);
        assertTrue(turn.mayTakeStep(10 * InputTurn.MAX_DURATION));
        assertFalse(turn.mayTakeStep(10 * InputTurn.MAX_DURATION));
    }

    /** Guards against a usual request that waits for a turn because the machine is slow or the code not compiled. */
    @Test
    void stepsOfAUsualRequestAreTakenAfterItsReadHoweverLongTheyTake() {
        var turn = new InputTurn();
        turn.beginAfterRead(0);
        for (int step = 1; step <= InputTurn.MIN_STEPS_AFTER_READ; step++) {
            assertTrue(turn.mayTakeStep(step * InputTurn.MAX_DURATION));
        }
        assertFalse(turn.mayTakeStep(10 * InputTurn.MAX_DURATION));
        turn.beginAfterRead(0);
        assertTrue(turn.mayTakeStep(0));
        turn.requestHandled();
        assertFalse(turn.mayTakeStep(0));
    }

    @Test
    void turnAfterWaitIsBoundedByTime() {
        var turn = new InputTurn();
        turn.beginAfterWait(5);
        assertTrue(turn.mayTakeStep(5));
        turn.requestHandled();
        assertTrue(turn.mayTakeStep(5 + InputTurn.MAX_DURATION - 1));
        assertFalse(turn.mayTakeStep(5 + InputTurn.MAX_DURATION));
    }
}
