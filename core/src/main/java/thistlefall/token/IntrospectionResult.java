package thistlefall.token;

/** How a call to the introspection service ended (RFC 7662). */
public sealed interface IntrospectionResult {
    /** The response is {@code "active": true}. */
    record Active(TokenInfo tokenInfo) implements IntrospectionResult {}

    /** The response is {@code "active": false}: unknown, expired or revoked; the service doesn't say which. */
    record Inactive() implements IntrospectionResult {}

    /** The call failed, so nothing is known about the token. */
    record Failed(FailureReason reason) implements IntrospectionResult {}

    /** Why a call failed. */
    enum FailureReason {
        /** No connection could be opened. */
        UNREACHABLE,
        /** No response arrived in time. */
        OVERDUE,
        /** The connection was lost. */
        BROKEN,
        /** The status is a 5xx, a 429 or any other that says nothing about the token. */
        REFUSED,
        /** The response is not valid by RFC 7662. */
        GARBLED,
        /** Status 401 or 403: the gateway's own credentials were not accepted. */
        OUR_CREDENTIALS
    }
}
