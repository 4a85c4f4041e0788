package thistlefall.token;

/**
 * The limits of the {@link IntrospectionCache}. Durations are nanoseconds.
 *
 * @param maxEntries the most tokens whose last response was active; other tokens have a smaller limit of their own
 * @param maxWaiting the most requests that wait for a decision; one more is decided at once
 * @param maxCalls the most outstanding calls
 * @param activeTtl how long an active response is fresh; never past the token's own {@code exp}
 * @param inactiveTtl how long an inactive response is fresh
 * @param staleTtl how long after {@code activeTtl} an active response is still used while the refresh fails; 0 to stop
 *     using it at once. A revoked token may be admitted for at most {@code activeTtl + staleTtl}
 * @param maxWait the longest time that a request waits for a decision
 * @param margin how long before its deadline a waiting request is decided
 * @param callTimeout time after which a call without a response has failed
 * @param failureThreshold number of failed calls in a row after which calls back off
 * @param initialBackoff the first backoff; doubled at each further failure
 * @param maxBackoff the longest backoff
 */
public record IntrospectionCachePolicy(
        int maxEntries,
        int maxWaiting,
        int maxCalls,
        long activeTtl,
        long inactiveTtl,
        long staleTtl,
        long maxWait,
        long margin,
        long callTimeout,
        int failureThreshold,
        long initialBackoff,
        long maxBackoff) {
    private static final long MS = 1_000_000L;

    /** Values for a service with a low network delay. */
    public static final IntrospectionCachePolicy DEFAULT = new IntrospectionCachePolicy(
            100_000,
            10_000,
            32,
            30_000 * MS,
            2_000 * MS,
            60_000 * MS,
            2_000 * MS,
            50 * MS,
            500 * MS,
            3,
            100 * MS,
            5_000 * MS);
}
