package thistlefall.token;

/** The decision on a request whose token was checked. */
public sealed interface TokenDecision {
    /**
     * The request may proceed; {@code stale} if the decision uses a stale response because no fresh one is available.
     */
    record Admit(TokenInfo tokenInfo, boolean stale) implements TokenDecision {}

    /** Status 401: the token is not active by the service's response, or its {@code exp} has passed. */
    record Deny() implements TokenDecision {}

    /** Status 503: the token's state is unknown, and there is no time or room to wait. Nothing was sent to a server. */
    record Unknown(String reason) implements TokenDecision {}
}
