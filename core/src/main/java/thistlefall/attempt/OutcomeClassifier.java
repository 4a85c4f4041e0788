package thistlefall.attempt;

import thistlefall.Ports.Outcome;

/**
 * Maps the observed end of an attempt to the outcome that the decision module uses. This is the only place that decides
 * when an attempt is <em>proved</em> never to have run. Each case is a row of the table in docs/edge.md, which names
 * its test.
 *
 * <p>A missing response or a status code alone is never a proof. Either no byte of the request was handed to a socket,
 * or the server states, in the field agreed with the operator, that it has not processed any of the request.
 */
public final class OutcomeClassifier {
    private OutcomeClassifier() {}

    /**
     * Returns the outcome of an attempt.
     *
     * @param progress how far the attempt got
     * @param endReason what ended the attempt
     * @param classification the classification of the response by the server's protocol;
     *     {@link ResponseClassification#NOTHING} if there was no response
     */
    public static Outcome classify(
            AttemptProgress progress, EndReason endReason, ResponseClassification classification) {
        boolean nothingWritten = progress.compareTo(AttemptProgress.WRITTEN) < 0;
        return switch (endReason) {
            case ANSWER -> classifyResponse(progress, classification);
            case REFUSED, CONNECT_OVERDUE, NO_PLACE, UNCONFIRMED -> nothingWritten
                    ? Outcome.CONNECT_FAILED
                    : Outcome.RESET;
                // A pooled connection that closed before anything was written says nothing about the server.
            case CLOSED -> nothingWritten ? Outcome.NOT_SENT : Outcome.RESET;
            case GARBLED -> nothingWritten ? Outcome.NOT_SENT : Outcome.ERROR;
            case OVERDUE -> nothingWritten ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT;
            case WITHDRAWN -> nothingWritten ? Outcome.NOT_SENT : Outcome.CANCELLED;
            case NOT_STARTED -> {
                if (!nothingWritten) {
                    throw new IllegalStateException("attempt ended as not started, but its progress is " + progress);
                }
                yield Outcome.NOT_SENT;
            }
        };
    }

    private static Outcome classifyResponse(AttemptProgress progress, ResponseClassification classification) {
        if (progress != AttemptProgress.COMPLETE) {
            // The response was cut off in the middle, so the request ran at least in part.
            return Outcome.RESET;
        }
        return switch (classification) {
            case SERVED -> Outcome.OK;
            case UNSEEN -> Outcome.FULL;
            case ERROR, NOTHING -> Outcome.ERROR;
        };
    }
}
