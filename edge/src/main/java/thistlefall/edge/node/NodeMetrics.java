package thistlefall.edge.node;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import thistlefall.Ports.Outcome;
import thistlefall.request.FailureCause;

/**
 * The counts of a node since its start. Written on its event loop only; other threads may read slightly stale values.
 */
public final class NodeMetrics {
    private static final long NANOS_PER_MICRO = 1_000L;
    /** The statuses of HTTP are below this. */
    private static final int STATUSES = 600;

    long requests;
    long served;
    long refused;
    long failed;
    long attempts;
    long lateSends;
    long withdrawnSends;
    long confirmations;
    long probes;
    long counterCalls;
    long counterFailures;
    long introspections;
    long staleTokens;
    long deniedTokens;
    long unknownTokens;
    long clientsGone;
    long requestsNeverBegun;
    long departuresFoundAtSend;
    long expiredByTracker;
    long connectionsRejected;
    long acceptFailures;
    long acceptPauses;
    long incompleteRefusedAtLimit;
    long serverListUpdates;
    long serverListFailures;
    long malformedRequests;
    long idleConnectionsClosed;
    long connectionsThatGaveWay;
    long readingPaused;
    /** How often input of a client had to wait for its turn, and the longest such wait in nanoseconds. */
    long inputWaits;

    long longestInputWait;
    /** Bytes that were read and not decoded, because their connection is about to end. */
    long discardedBytes;

    private final long[] attemptsByOutcome = new long[Outcome.values().length];
    private final long[] endedByCause = new long[ConnectionEnd.values().length];
    private final long[] refusedByCause = new long[FailureCause.values().length];
    /** The input that was answered with an error instead of being decoded further, by the status of the response. */
    private final long[] inputErrorsByStatus = new long[STATUSES];

    NodeMetrics() {}

    void countRefused(FailureCause cause) {
        refused++;
        refusedByCause[cause.ordinal()]++;
    }

    void countInputError(int status) {
        inputErrorsByStatus[status]++;
    }

    void countAttemptEnd(Outcome outcome) {
        attemptsByOutcome[outcome.ordinal()]++;
    }

    void countConnectionEnd(ConnectionEnd cause) {
        endedByCause[cause.ordinal()]++;
    }

    /**
     * Returns the counts by name in a fixed order; attempts per outcome, refusals and ended connections per cause, and
     * failed input per status are included only if there are any.
     */
    public Map<String, Long> asMap() {
        var map = new LinkedHashMap<String, Long>();
        map.put("requests", requests);
        map.put("served", served);
        map.put("refused", refused);
        map.put("failed", failed);
        map.put("attempts", attempts);
        map.put("late_sends", lateSends);
        map.put("withdrawn_sends", withdrawnSends);
        map.put("confirmations", confirmations);
        map.put("probes", probes);
        map.put("counter_calls", counterCalls);
        map.put("counter_failures", counterFailures);
        map.put("introspections", introspections);
        map.put("stale_tokens", staleTokens);
        map.put("denied_tokens", deniedTokens);
        map.put("unknown_tokens", unknownTokens);
        map.put("clients_gone", clientsGone);
        map.put("never_begun", requestsNeverBegun);
        map.put("clients_gone_at_send", departuresFoundAtSend);
        map.put("ended_by_ledger", expiredByTracker);
        map.put("connections_turned_away", connectionsRejected);
        map.put("accept_failures", acceptFailures);
        map.put("accept_pauses", acceptPauses);
        map.put("incomplete_refused", incompleteRefusedAtLimit);
        map.put("list_updates", serverListUpdates);
        map.put("list_failures", serverListFailures);
        map.put("unreadable", malformedRequests);
        map.put("idle_closed", idleConnectionsClosed);
        map.put("gave_way", connectionsThatGaveWay);
        map.put("reading_paused", readingPaused);
        map.put("input_waits", inputWaits);
        map.put("input_longest_wait_us", longestInputWait / NANOS_PER_MICRO);
        map.put("discarded_bytes", discardedBytes);
        for (Outcome outcome : Outcome.values()) {
            if (attemptsByOutcome[outcome.ordinal()] > 0) {
                map.put("attempts_" + outcome.name().toLowerCase(Locale.ROOT), attemptsByOutcome[outcome.ordinal()]);
            }
        }
        for (ConnectionEnd cause : ConnectionEnd.values()) {
            if (endedByCause[cause.ordinal()] > 0) {
                map.put("connections_" + cause.name().toLowerCase(Locale.ROOT), endedByCause[cause.ordinal()]);
            }
        }
        for (FailureCause cause : FailureCause.values()) {
            if (refusedByCause[cause.ordinal()] > 0) {
                map.put("refused_" + cause.code().replace('-', '_'), refusedByCause[cause.ordinal()]);
            }
        }
        for (int status = 0; status < STATUSES; status++) {
            if (inputErrorsByStatus[status] > 0) {
                map.put("input_errors_" + status, inputErrorsByStatus[status]);
            }
        }
        return map;
    }
}
