package thistlefall.edge.host;

import java.nio.charset.StandardCharsets;

/**
 * An answer of the node's own, with problem details by RFC 9457. The type tells a refusal, after which trying again
 * is harmless, from a failure, which promises nothing; and both from what is the client's own mistake.
 *
 * @param status the status
 * @param type last part of the problem type
 * @param title what it is
 * @param detail why
 * @param retryAfter advice to stay away so long, nanoseconds; 0 for none
 * @param authenticate value of WWW-Authenticate; null for none
 */
record Problem(int status, String type, String title, String detail, long retryAfter, String authenticate) {
    private static final String TYPES = "urn:thistlefall:problem:";

    static Problem refused(String detail, long retryAfter) {
        return new Problem(retryAfter > 0 ? 429 : 503, "refused", "Refused; trying again is harmless", detail,
            retryAfter, null);
    }

    static Problem failed(String detail) {
        return new Problem(504, "failed", "Failed; whether it took effect is unknown", detail, 0, null);
    }

    static Problem client(int status, String detail) {
        return new Problem(status, "request", "The request can't be taken", detail, 0, null);
    }

    static Problem unauthorized(String detail, boolean hadToken) {
        return new Problem(401, "token", "No valid token", detail, 0,
            hadToken ? "Bearer error=\"invalid_token\"" : "Bearer");
    }

    static Problem forbidden(String detail, String scope) {
        return new Problem(403, "token", "The token doesn't allow this", detail, 0,
            "Bearer error=\"insufficient_scope\"" + (scope == null ? "" : ", scope=\"" + scope + "\""));
    }

    byte[] body() {
        StringBuilder text = new StringBuilder(160).append("{\"type\":\"").append(TYPES).append(type)
            .append("\",\"title\":\"").append(title).append("\",\"status\":").append(status)
            .append(",\"detail\":\"").append(detail.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        if (retryAfter > 0) {
            text.append(",\"retry_after_ms\":").append(Math.max(1, retryAfter / 1_000_000));
        }
        return text.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }
}
