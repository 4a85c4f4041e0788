package thistlefall;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.RecordingHost.MS;
import static thistlefall.RecordingHost.SAFE;

import java.util.ArrayDeque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistlefall.Ports.Outcome;

/**
 * A zone whose servers failed must be used again once they work. Virtual time, one gateway that ranks all servers and
 * gets forty requests a second that take half a second each.
 */
class ZoneRecoveryTest {
    private static final long SECOND = 1_000 * MS;
    private static final int REQUESTS_PER_SECOND = 40;
    private static final int IN_FLIGHT = REQUESTS_PER_SECOND / 2;

    private final RecordingHost host = new RecordingHost(RecordingHost.UNLIMITED, 1, 0).addServers(12);
    private final ArrayDeque<String> inFlight = new ArrayDeque<>();

    /** Plays requests and returns the part of the successful attempts that the zone of the odd servers served. */
    private double play(long duration, boolean zoneFails) {
        int served = 0;
        int servedByZone = 0;
        for (int i = 0; i < duration / SECOND * REQUESTS_PER_SECOND; i++) {
            host.advance(SECOND / REQUESTS_PER_SECOND);
            int alreadySent = host.sentAttempts.size();
            String id = host.request(SAFE, 1);
            inFlight.add(id);
            if (zoneFails) {
                failAttemptsInZone(id, alreadySent);
            }
            if (inFlight.size() > IN_FLIGHT) {
                String oldest = inFlight.poll();
                var attempts = host.attemptsOf(oldest);
                if (!attempts.isEmpty() && !host.refusedIds.contains(oldest)) {
                    served++;
                    servedByZone += isInZone(attempts.get(attempts.size() - 1)) ? 1 : 0;
                    host.endAttempt(oldest, Outcome.OK, true, SECOND / 2);
                }
                host.sentAttempts.removeIf(attempt -> attempt.id().equals(oldest));
            }
        }
        return servedByZone / (double) Math.max(1, served);
    }

    private void failAttemptsInZone(String id, int alreadySent) {
        for (int i = alreadySent; i < host.sentAttempts.size(); i++) {
            if (isInZone(host.sentAttempts.get(i)) && !host.refusedIds.contains(id)) {
                host.endAttempt(id, Outcome.CONNECT_FAILED);
            }
        }
    }

    private static boolean isInZone(RecordingHost.SentAttempt attempt) {
        return (attempt.server().charAt(0) - 'a') % 2 == 1;
    }

    /**
     * Guards against a zone that is avoided for good: its error rate followed from its own attempts only, and none was
     * made while the other zone was better.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 60, 600})
    void zoneIsUsedAgainWithinFiveSecondsOfAnOutage(int outageSeconds) {
        double usualPart = play(20 * SECOND, false);
        double partInOutage = play(outageSeconds * SECOND, true);
        play(5 * SECOND, false);
        double partAfterwards = play(10 * SECOND, false);
        assertTrue(
                partAfterwards >= 0.95 * usualPart,
                "usually " + usualPart + ", in the outage " + partInOutage + ", afterwards " + partAfterwards);
    }
}
