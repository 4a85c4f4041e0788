package thistlefall.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import thistlefall.Ports.Outcome;

class ProofTest {
    @Test
    void onceAByteIsWrittenOnlyTheServerCanProveThatItNeverRan() {
        for (Progress progress : Progress.values()) {
            for (End end : End.values()) {
                if (progress.compareTo(Progress.WRITTEN) < 0 || end == End.NOT_STARTED) {
                    continue;
                }
                for (int status : new int[] {0, 200, 404, 429, 500, 503}) {
                    assertFalse(Proof.of(progress, end, status, false).provesNeverRan(),
                        progress + " " + end + " " + status);
                }
            }
        }
    }

    @Test
    void eachRow() {
        assertEquals(Outcome.OK, Proof.of(Progress.COMPLETE, End.ANSWER, 200, false));
        assertEquals(Outcome.OK, Proof.of(Progress.COMPLETE, End.ANSWER, 404, false));
        assertEquals(Outcome.ERROR, Proof.of(Progress.COMPLETE, End.ANSWER, 503, false));
        assertEquals(Outcome.FULL, Proof.of(Progress.COMPLETE, End.ANSWER, 503, true));
        assertEquals(Outcome.OK, Proof.of(Progress.COMPLETE, End.ANSWER, 200, true), "a 200 contradicts 'unseen'");
        assertEquals(Outcome.RESET, Proof.of(Progress.ANSWERED, End.CLOSED, 200, false));
        assertEquals(Outcome.RESET, Proof.of(Progress.WRITTEN, End.CLOSED, 0, false));
        assertEquals(Outcome.ERROR, Proof.of(Progress.WRITTEN, End.GARBLED, 0, false));
        assertEquals(Outcome.TIMEOUT, Proof.of(Progress.WRITTEN, End.OVERDUE, 0, false));
        assertEquals(Outcome.CANCELLED, Proof.of(Progress.WRITTEN, End.WITHDRAWN, 0, false));
        assertEquals(Outcome.CONNECT_FAILED, Proof.of(Progress.WAITING, End.REFUSED, 0, false));
        assertEquals(Outcome.CONNECT_FAILED, Proof.of(Progress.WAITING, End.CONNECT_OVERDUE, 0, false));
        assertEquals(Outcome.CONNECT_FAILED, Proof.of(Progress.WAITING, End.NO_PLACE, 0, false));
        assertEquals(Outcome.CONNECT_FAILED, Proof.of(Progress.WAITING, End.OVERDUE, 0, false));
        assertEquals(Outcome.NOT_SENT, Proof.of(Progress.CONNECTED, End.CLOSED, 0, false));
        assertEquals(Outcome.NOT_SENT, Proof.of(Progress.WAITING, End.WITHDRAWN, 0, false));
        assertEquals(Outcome.NOT_SENT, Proof.of(Progress.WAITING, End.NOT_STARTED, 0, false));
        assertThrows(IllegalStateException.class, () -> Proof.of(Progress.WRITTEN, End.NOT_STARTED, 0, false));
    }
}
