package thistlefall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.RecordingHost.KEYED_ALL;
import static thistlefall.RecordingHost.KEYED_CELL;
import static thistlefall.RecordingHost.MS;
import static thistlefall.RecordingHost.SAFE;
import static thistlefall.RecordingHost.UNSAFE;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import thistlefall.Ports.ConnectionProof;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;
import thistlefall.RecordingHost.SentAttempt;
import thistlefall.clock.MonotonicWallClock;

/**
 * Guards against attempts that are decided on at one moment and sent at another, when what allowed them has ended:
 * which time the module states for each condition, and what it withdraws.
 */
class SendConditionsTest {
    private static final long KEY_WINDOW = 700 * MS;
    private static final long FIRST_ATTEMPT = 400 * MS;

    private final RecordingHost host = new RecordingHost(RecordingHost.UNLIMITED, 1, 0);

    private static SentAttempt last(List<SentAttempt> attempts) {
        return attempts.get(attempts.size() - 1);
    }

    /** A late connection must not carry a repeat out of the window in which its key is remembered. */
    @ParameterizedTest
    @ValueSource(ints = {KEYED_CELL, KEYED_ALL})
    void keyedRepeatIsSentWithinItsWindow(int requestClass) {
        host.addServers(6);
        long windowEnd = host.now + KEY_WINDOW;
        String id = host.request(requestClass, 1);
        host.now += FIRST_ATTEMPT;
        host.endAttempt(id, Outcome.ERROR, false);
        assertEquals(2, host.attemptsOf(id).size());
        Ports.SendConditions conditions = last(host.attemptsOf(id)).conditions();
        assertTrue(conditions.latestSendTime() < windowEnd);
        assertTrue(conditions.latestStartTime() < windowEnd);
        assertEquals(ConnectionProof.RESPONDS_NOW, conditions.proof(), "what the kernel holds is not taken yet");
    }

    /** After the machine's clock was set back, the clock of the decisions runs slower than that of the servers. */
    @Test
    void windowOfTheKeyIsNotLongerWhileTheClockIsCorrected() {
        host.addServers(6);
        var clock = new MonotonicWallClock(0, host.now);
        clock.observe(0, host.now - 3_600_000 * MS);
        String id = host.request(KEYED_CELL, 1);
        host.now = clock.timeAt(KEY_WINDOW);
        host.endAttempt(id, Outcome.ERROR, false);
        assertEquals(List.of(id), host.failedIds);
        assertEquals(1, host.attemptsOf(id).size());
    }

    /** The wait for a connection leaves time for another server, and none is tried after the window. */
    @Test
    void anotherServerIsTriedWithinTheWindow() {
        host.addServers(6);
        long windowEnd = host.now + KEY_WINDOW;
        String id = host.request(KEYED_CELL, 1);
        host.now += FIRST_ATTEMPT;
        host.endAttempt(id, Outcome.ERROR, false);
        while (host.refusedIds.isEmpty() && host.failedIds.isEmpty()) {
            SentAttempt attempt = last(host.attemptsOf(id));
            assertTrue(attempt.latestSendTime() < windowEnd);
            host.now = Math.max(host.now, attempt.latestSendTime());
            host.endAttempt(id, Outcome.CONNECT_FAILED, false);
        }
        assertTrue(host.attemptsOf(id).size() > 2, "another server was tried");
        assertEquals(List.of(id), host.failedIds, "an earlier attempt may have run");
    }

    /** Without an attempt that may have run there is no window: only the time of the client limits the wait. */
    @ParameterizedTest
    @ValueSource(ints = {SAFE, KEYED_CELL, UNSAFE})
    void firstAttemptMayWaitUntilItIsGivenUp(int requestClass) {
        host.addServers(2);
        String id = host.request(requestClass, 1);
        SentAttempt attempt = last(host.attemptsOf(id));
        assertEquals(host.now + attempt.timeout(), attempt.latestSendTime());
        assertEquals(ConnectionProof.NONE, attempt.conditions().proof());
        host.endAttempt(id, Outcome.CONNECT_FAILED, false);
        SentAttempt second = last(host.attemptsOf(id));
        assertEquals(host.now + second.timeout(), second.latestSendTime());
    }

    /** A server that has just failed may take what it is sent at any later time, when the client has left. */
    @ParameterizedTest
    @ValueSource(ints = {SAFE, KEYED_CELL, UNSAFE})
    void failingServerMustHaveRespondedOnTheConnectionOfARequestThatMustNotRunTwice(int requestClass) {
        host.addServers(1);
        for (int i = 0; i < 5; i++) {
            host.endAttempt(host.request(UNSAFE, 1), Outcome.RESET, true);
        }
        String id = host.request(requestClass, 1);
        assertEquals(
                requestClass == SAFE ? ConnectionProof.NONE : ConnectionProof.HAS_RESPONDED,
                last(host.attemptsOf(id)).conditions().proof());
    }

    /** Requests that wait for their connections to a cold server must not arrive there all at once. */
    @Test
    void waitForConnectionToColdServerIsBounded() {
        host.updateServer("cold", 0, Readiness.READY, host.now - 9_000 * MS);
        for (int i = 0; i < 200 && host.sentAttempts.isEmpty(); i++) {
            host.advance(10 * MS);
            host.request(UNSAFE, 1);
        }
        SentAttempt attempt = last(host.sentAttempts);
        // The settings allow three times the present capacity for two seconds.
        assertTrue(attempt.latestSendTime() <= host.now + 4_000 * MS);
    }

    /** A server that drains, is gone, was replaced or has moved gets nothing that was decided on before. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void unsentAttemptsAreWithdrawnFromAChangedServer(Change change) {
        host.addServers(1);
        String id = host.request(UNSAFE, 1);
        host.updateServer("b", 1, Readiness.READY, 0);
        assertEquals(List.of(), host.withdrawnIds, "nothing has changed at this server");
        change.apply(host);
        assertEquals(List.of(id), host.withdrawnIds);
        host.endAttempt(id, Outcome.NOT_SENT, false);
        assertEquals("b", last(host.attemptsOf(id)).server());
        assertTrue(host.refusedIds.isEmpty() && host.failedIds.isEmpty());
    }

    /** What may change at server "a", which belongs to cell 0. */
    enum Change {
        DRAINS,
        GONE,
        NOT_IN_FULL_LIST,
        RESTARTED,
        IN_ANOTHER_CELL;

        private void apply(RecordingHost host) {
            switch (this) {
                case DRAINS -> host.updateServer("a", 0, Readiness.DRAINING, 0);
                case GONE -> host.updateServer("a", 0, Readiness.GONE, 0);
                case NOT_IN_FULL_LIST -> host.gateway.serverListUpdated(
                        host.now, ListKind.FULL, List.of(new Ports.Server("b", 1, 1, 1, 0, Readiness.READY, 0)));
                case RESTARTED -> host.updateServer("a", 0, Readiness.READY, host.now);
                case IN_ANOTHER_CELL -> host.updateServer("a", 1, Readiness.READY, 0);
            }
        }
    }

    /** The cell that remembers a key is the one in which the server was when it got the request. */
    @Test
    void repeatStaysInTheCellOfTheFirstAttempt() {
        host.addServers(1);
        String id = host.request(KEYED_CELL, 1);
        host.updateServer("b", 1, Readiness.READY, 0);
        host.updateServer("c", 0, Readiness.READY, 0);
        host.updateServer("a", 1, Readiness.READY, 0);
        host.endAttempt(id, Outcome.ERROR, false);
        assertEquals("c", last(host.attemptsOf(id)).server());
        assertFalse(host.failedIds.contains(id));
    }
}
