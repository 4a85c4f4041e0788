package thistlefall;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistlefall.RecordingHost.MS;
import static thistlefall.RecordingHost.UNSAFE;

import java.util.ArrayDeque;
import java.util.function.LongUnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistlefall.Ports.Outcome;

/**
 * A class whose servers were slow must be served again once they are not. Runs on virtual time: 60 requests a second of
 * a class with an aim of one second, each of which takes the service time that holds when it is sent.
 */
class ServiceTimeRecoveryTest {
    private static final long SECOND = 1_000 * MS;
    private static final long TICK = 10 * MS;
    private static final long SLOW_FOR = 10 * SECOND;
    private static final long RECOVERY_TIME = 5 * SECOND;
    private static final long OBSERVED_FOR = 10 * SECOND;
    private static final int REQUESTS_PER_SECOND = 60;

    private record Response(String id, long sentAt, long duration) {}

    /** Plays requests against servers with a service time by the time since the start, and counts what is sent. */
    private static final class Play {
        private final RecordingHost host = new RecordingHost(RecordingHost.UNLIMITED, 1, 0).addServers(12);
        private final long startedAt = host.now;
        private final ArrayDeque<Response> inFlight = new ArrayDeque<>();
        private final LongUnaryOperator serviceTime;
        private final int[] sentBySecond = new int[60];
        private int seenAttempts;
        private double owedRequests;

        Play(LongUnaryOperator serviceTime) {
            this.serviceTime = serviceTime;
        }

        void run(long duration, int maxUnits) {
            int requestCount = 0;
            for (long elapsed = 0; elapsed < duration; elapsed += TICK) {
                host.advance(TICK);
                owedRequests += REQUESTS_PER_SECOND * TICK / (double) SECOND;
                for (; owedRequests >= 1; owedRequests--) {
                    host.request(UNSAFE, 1 + requestCount++ % maxUnits);
                }
                endDueAttempts();
                recordSent();
            }
        }

        private void endDueAttempts() {
            for (int i = inFlight.size(); i > 0; i--) {
                Response response = inFlight.poll();
                if (host.now - response.sentAt() >= response.duration()) {
                    host.endAttempt(response.id(), Outcome.OK, true, response.duration());
                } else {
                    inFlight.add(response);
                }
            }
        }

        private void recordSent() {
            for (; seenAttempts < host.sentAttempts.size(); seenAttempts++) {
                String id = host.sentAttempts.get(seenAttempts).id();
                inFlight.add(new Response(id, host.now, serviceTime.applyAsLong(host.now - startedAt)));
                sentBySecond[(int) ((host.now - startedAt - 1) / SECOND)]++;
            }
        }

        int sentBetween(long from, long to) {
            return IntStream.range((int) (from / SECOND), (int) (to / SECOND))
                    .map(second -> sentBySecond[second])
                    .sum();
        }
    }

    /**
     * Guards against a class that is refused for good: its estimate was above the aim, no attempt was made, and without
     * attempts the estimate stayed.
     */
    @ParameterizedTest
    @CsvSource({"1, 1000", "4, 1600"})
    void classIsServedWithinFiveSecondsOfTheServersRecovery(int maxUnits, long slowMillis) {
        long slow = slowMillis * MS;
        long usual = 200 * MS;
        Play troubled = new Play(elapsed -> elapsed < SLOW_FOR ? slow : usual);
        Play untroubled = new Play(elapsed -> usual);
        long end = SLOW_FOR + RECOVERY_TIME + OBSERVED_FOR;
        troubled.run(end, maxUnits);
        untroubled.run(end, maxUnits);
        int sent = troubled.sentBetween(SLOW_FOR + RECOVERY_TIME, end);
        int sentWithoutTrouble = untroubled.sentBetween(SLOW_FOR + RECOVERY_TIME, end);
        assertTrue(sent >= 0.95 * sentWithoutTrouble, "sent " + sent + " of " + sentWithoutTrouble);
    }

    /** While servers stay slow, only an attempt a second may go on measuring: more would add to their load. */
    @Test
    void slowServersGetFewMeasuringAttempts() {
        Play play = new Play(elapsed -> 1_600 * MS);
        play.run(20 * SECOND, 1);
        int sent = play.sentBetween(10 * SECOND, 20 * SECOND);
        assertTrue(sent > 0 && sent <= 11, "sent " + sent);
    }
}
