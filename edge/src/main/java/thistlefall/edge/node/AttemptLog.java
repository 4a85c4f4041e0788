package thistlefall.edge.node;

import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.RequestClass;
import thistlefall.attempt.AttemptProgress;
import thistlefall.attempt.EndReason;
import thistlefall.attempt.SendPermission;
import thistlefall.request.ResponseKind;

/**
 * Logs the attempts of requests that must not simply run twice, wherever one may have run without being served, so that
 * such a request can be followed by the id that its client gave it. Requests that are safe to repeat and attempts that
 * are served are only counted. Confined to the node's event loop.
 */
final class AttemptLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String nodeName;
    private final List<RequestClass> classes;
    private final Logger log;
    private final NodeMetrics metrics;

    AttemptLog(String nodeName, List<RequestClass> classes, Logger log, NodeMetrics metrics) {
        this.nodeName = nodeName;
        this.classes = classes;
        this.log = log;
        this.metrics = metrics;
    }

    /** Records an attempt that is sent although an earlier one may have run. */
    void sentAgain(RequestContext requestContext, Attempt attempt, SendPermission sendPermission) {
        Attempt possibleRun = requestContext.possibleRun;
        if (possibleRun == null || isSafe(requestContext)) {
            return;
        }
        long now = System.nanoTime();
        line(requestContext, attempt)
                .addKeyValue("waited_ms", attempt.timeToSend() / NANOS_PER_MILLI)
                .addKeyValue("may_be_sent_for_ms", sendPermission.remaining(now) / NANOS_PER_MILLI)
                .addKeyValue("may_have_run_at", possibleRun.serverId())
                .addKeyValue("decided_ms_ago", (now - possibleRun.startedAt()) / NANOS_PER_MILLI)
                .addKeyValue("sent_ms_after_that", possibleRun.timeToSend() / NANOS_PER_MILLI)
                .log("sent again");
    }

    /** Records the end of an attempt. */
    void ended(
            RequestContext requestContext,
            Attempt attempt,
            Outcome outcome,
            EndReason endReason,
            AttemptProgress progress) {
        metrics.countAttemptEnd(outcome);
        boolean ranOrNeverRan = outcome == Outcome.OK || outcome.provesNeverRan() && requestContext.possibleRun == null;
        if (ranOrNeverRan || isSafe(requestContext)) {
            return;
        }
        line(requestContext, attempt)
                .addKeyValue("outcome", lowerCase(outcome))
                .addKeyValue("end", lowerCase(endReason))
                .addKeyValue("progress", lowerCase(progress))
                .addKeyValue("sent_after_ms", attempt.timeToSend() / NANOS_PER_MILLI)
                .addKeyValue("ms", (System.nanoTime() - attempt.startedAt()) / NANOS_PER_MILLI)
                .addKeyValue("client_waits", requestContext.trackedRequest.open())
                .log("attempt ended");
    }

    /** Records the response to a request that the node answers itself although an attempt may have run. */
    void answered(RequestContext requestContext, ResponseKind kind) {
        Attempt lastAttempt = requestContext.currentAttempt;
        if (lastAttempt == null || requestContext.possibleRun == null || isSafe(requestContext)) {
            return;
        }
        line(requestContext, lastAttempt)
                .addKeyValue("answer", lowerCase(kind))
                .addKeyValue("reason", requestContext.trackedRequest.cause().code())
                .addKeyValue(
                        "time_left_ms",
                        (requestContext.trackedRequest.deadline() - System.nanoTime()) / NANOS_PER_MILLI)
                .log("answered after a possible run");
    }

    /** Records that the client of a request has left while an attempt is out or after one that may have run. */
    void clientLeft(RequestContext requestContext) {
        Attempt lastAttempt = requestContext.currentAttempt;
        if (lastAttempt == null || isSafe(requestContext)) {
            return;
        }
        line(requestContext, lastAttempt)
                .addKeyValue("progress", lowerCase(lastAttempt.progress()))
                .addKeyValue("may_have_run", requestContext.trackedRequest.mayHaveRun())
                .log("client left");
    }

    private LoggingEventBuilder line(RequestContext requestContext, Attempt attempt) {
        return log.atInfo()
                .addKeyValue("node", nodeName)
                .addKeyValue("request", requestContext.trackedRequest.id())
                .addKeyValue("client_request", requestContext.clientRequestId)
                .addKeyValue("class", requestContext.descriptor.className())
                .addKeyValue("server", attempt.serverId())
                .addKeyValue("attempt", attempt.number() + 1);
    }

    private boolean isSafe(RequestContext requestContext) {
        return classes.get(requestContext.descriptor.requestClass()).repeat() == Repeat.SAFE;
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
