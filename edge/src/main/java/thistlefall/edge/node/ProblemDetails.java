package thistlefall.edge.node;

import java.nio.charset.StandardCharsets;
import thistlefall.request.FailureCause;

/**
 * An answer of the node's own, with problem details by RFC 9457. The type tells a refusal, after which trying again
 * is harmless, from a failure, which promises nothing; and both from what is the client's own mistake. The member
 * {@code reason} is for programs, the detail says the same to people.
 *
 * @param status the status
 * @param type last part of the problem type
 * @param title what it is
 * @param detail why
 * @param cause why, as a code; null where the title says all
 * @param retryAfter advice to stay away so long, nanoseconds; 0 for none
 * @param authenticate value of WWW-Authenticate; null for none
 */
record ProblemDetails(
        int status,
        String type,
        String title,
        String detail,
        FailureCause cause,
        long retryAfter,
        String authenticate) {
    private static final String TYPES = "urn:thistlefall:problem:";

    static ProblemDetails refused(FailureCause cause, long retryAfter) {
        return new ProblemDetails(
                cause.ofCustomer() ? 429 : 503,
                "refused",
                "Refused; trying again is harmless",
                sentence(cause),
                cause,
                retryAfter,
                null);
    }

    static ProblemDetails failed(FailureCause cause) {
        return new ProblemDetails(
                504, "failed", "Failed; whether it took effect is unknown", sentence(cause), cause, 0, null);
    }

    /** Whether the node is ready to take requests, for whoever watches over it. */
    static ProblemDetails readiness(boolean ready) {
        return new ProblemDetails(
                ready ? 200 : 503,
                "readiness",
                ready ? "Ready" : "Not ready",
                ready ? "requests are taken" : "no server list has come",
                null,
                0,
                null);
    }

    static ProblemDetails client(int status, String detail) {
        return new ProblemDetails(status, "request", "The request can't be taken", detail, null, 0, null);
    }

    static ProblemDetails unauthorized(String detail, boolean hadToken) {
        return new ProblemDetails(
                401,
                "token",
                "No valid token",
                detail,
                null,
                0,
                hadToken ? "Bearer error=\"invalid_token\"" : "Bearer");
    }

    static ProblemDetails forbidden(String detail, String scope) {
        return new ProblemDetails(
                403,
                "token",
                "The token doesn't allow this",
                detail,
                null,
                0,
                "Bearer error=\"insufficient_scope\"" + (scope == null ? "" : ", scope=\"" + scope + "\""));
    }

    /** What a person is told; each is true in its case and says no more than is known. */
    private static String sentence(FailureCause cause) {
        return switch (cause) {
            case QUOTA -> "the customer has used up its quota for now";
            case QUOTA_ESTIMATED -> "by what this gateway last heard, the customer has used up its quota for now";
            case QUOTA_PART -> "the shared count of the quota can't be heard, and this gateway's part of it is used up";
            case CEILING -> "this gateway may spend no more under the customer's hard ceiling for now";
            case TIME -> "too little time was left to serve it";
            case QUEUE -> "the servers are busy and it could not be served in time";
            case SERVERS -> "no server took it";
            case UNKNOWN -> "its class or its plan is not known here";
            case TOKEN -> "the token is not active";
            case TOKEN_UNKNOWN -> "the token could not be checked in time";
            case FULL -> "this gateway holds as many requests as it may";
            case STOPPING -> "this gateway is stopping";
            case OVERDUE -> "the request's time is up";
            case CRASHED -> "an error inside this gateway";
            case EFFECT -> "an attempt may have taken effect and can't be repeated";
            case CLIENT -> "the request broke off";
        };
    }

    byte[] body() {
        StringBuilder text = new StringBuilder(160)
                .append("{\"type\":\"")
                .append(TYPES)
                .append(type)
                .append("\",\"title\":\"")
                .append(title)
                .append("\",\"status\":")
                .append(status)
                .append(",\"detail\":\"")
                .append(detail.replace("\\", "\\\\").replace("\"", "\\\""))
                .append('"');
        if (cause != null) {
            text.append(",\"reason\":\"").append(cause.code()).append('"');
        }
        if (retryAfter > 0) {
            text.append(",\"retry_after_ms\":").append(Math.max(1, retryAfter / 1_000_000));
        }
        return text.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }
}
