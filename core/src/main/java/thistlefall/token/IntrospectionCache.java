package thistlefall.token;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import thistlefall.timer.TimingWheel;

/**
 * Decides on tokens: when to call the introspection service, for which token, and whether a request may proceed
 * meanwhile. It does no I/O. A host turns {@link IntrospectionActions#introspect} into a call by RFC 7662 and reports
 * its end to {@link #callEnded}.
 *
 * <p>Guarantees:
 * <ul>
 *   <li>Each waiter gets exactly one decision, within {@code maxWait} and at the latest {@code margin} before its
 *       deadline.</li>
 *   <li>At most one call per token is outstanding, however many requests wait for it. There is no hedging: a second
 *       call would double the load of a slow service, and the response is the same for all waiters.</li>
 *   <li>A token is never admitted past its {@code exp}, nor longer than {@code activeTtl + staleTtl} after the last
 *       response that it is active, whatever the state of the service.</li>
 *   <li>Waiters, calls and cached tokens are bounded. A token that a request waits for is not evicted.</li>
 *   <li>A failing service gets one call at a time, after a backoff that doubles and has a random part, so that nodes
 *       that saw it fail together do not retry together.</li>
 * </ul>
 *
 * <p>Times are nanoseconds of the clock that the nodes share; {@code exp} is given in it too. Not thread-safe.
 */
public final class IntrospectionCache {
    /** Actions that the cache requests from its host; each takes effect at once. */
    public interface IntrospectionActions {
        /** Calls the service; {@link IntrospectionCache#callEnded} follows exactly once, within about the timeout. */
        void introspect(long callId, String token, long timeout);

        /** Delivers the decision for a waiter, possibly from within {@link IntrospectionCache#check}. */
        void decided(long waiterId, TokenDecision decision);

        /** Logs a change of the service's state for the operators. */
        void log(String text);
    }

    /** What is known about a token without a call. */
    public enum TokenStatus {
        ACTIVE,
        DEAD,
        UNKNOWN
    }

    private final class CachedToken {
        private final TokenKey key;
        private final Set<WaitingCheck> waiters = new LinkedHashSet<>();
        private TokenInfo tokenInfo;
        private boolean inactive;
        private long confirmedAt;
        private long callId;
        private boolean queued;
        /** The token itself; kept only from the time the call is queued until it has ended. */
        private String token;

        private CachedToken(TokenKey key) {
            this.key = key;
        }

        private boolean expired(long now) {
            return tokenInfo != null && now >= tokenInfo.expiresAt();
        }

        private boolean fresh(long now) {
            return (tokenInfo != null || inactive)
                    && now - confirmedAt < (inactive ? policy.inactiveTtl() : policy.activeTtl());
        }

        private boolean usableWhenStale(long now) {
            return tokenInfo != null
                    && !inactive
                    && !expired(now)
                    && now - confirmedAt < policy.activeTtl() + policy.staleTtl();
        }

        private boolean isEvictable() {
            return waiters.isEmpty() && callId == 0 && !queued;
        }
    }

    private static final class WaitingCheck {
        private final long waiterId;
        private final CachedToken cachedToken;
        private TimingWheel.ScheduledTimeout<WaitingCheck> timeout;

        private WaitingCheck(long waiterId, CachedToken cachedToken) {
            this.waiterId = waiterId;
            this.cachedToken = cachedToken;
        }
    }

    /**
     * The entries of tokens that are not known to be active are limited to {@code maxEntries} divided by this number.
     */
    private static final int OTHER_TOKENS_DIVISOR = 4;

    private final IntrospectionCachePolicy policy;
    private final IntrospectionActions actions;
    private final SplittableRandom random;
    /**
     * Tokens whose last response was active, least recently used first. They are kept apart from all other tokens, so
     * that a flood of invented tokens does not evict those in use.
     */
    private final LinkedHashMap<TokenKey, CachedToken> activeTokens = new LinkedHashMap<>(64, 0.75f, true);

    private final LinkedHashMap<TokenKey, CachedToken> otherTokens = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<Long, WaitingCheck> checksByWaiter = new HashMap<>();
    private final Map<Long, CachedToken> callsById = new HashMap<>();
    private final ArrayDeque<CachedToken> introspectionQueue = new ArrayDeque<>();
    private final TimingWheel<WaitingCheck> timingWheel;
    private long nextCallId = 1;
    private int consecutiveFailures;
    private long backoffUntil;
    private boolean backingOff;
    private boolean credentialsRejected;

    /** Creates an empty cache; {@code seed} is its only source of randomness. */
    public IntrospectionCache(IntrospectionCachePolicy policy, long seed, long now, IntrospectionActions actions) {
        this.policy = policy;
        this.actions = actions;
        random = new SplittableRandom(seed);
        timingWheel = new TimingWheel<>(4_000_000L, 4096, now);
        backoffUntil = now;
    }

    /** Returns the number of requests that wait for a decision. */
    public int waitingCount() {
        return checksByWaiter.size();
    }

    /** Returns the number of outstanding calls. */
    public int outstandingCalls() {
        return callsById.size();
    }

    /** Returns the number of cached tokens, active or not. */
    public int size() {
        return activeTokens.size() + otherTokens.size();
    }

    /** Returns whether the service fails and calls are in backoff. */
    public boolean backingOff() {
        return backingOff;
    }

    /** Checks the token of a request; the decision follows at once or later. */
    public void check(long now, long waiterId, TokenKey key, String token, long deadline) {
        CachedToken cachedToken = findToken(key);
        if (cachedToken != null && cachedToken.expired(now)) {
            actions.decided(waiterId, new TokenDecision.Deny());
            return;
        }
        if (cachedToken != null && cachedToken.fresh(now)) {
            actions.decided(
                    waiterId,
                    cachedToken.inactive
                            ? new TokenDecision.Deny()
                            : new TokenDecision.Admit(cachedToken.tokenInfo, false));
            refreshAhead(now, cachedToken, token);
            return;
        }
        if (cachedToken != null && backingOff && cachedToken.usableWhenStale(now)) {
            // The service is known to fail, so a known token doesn't wait for another failure.
            actions.decided(waiterId, new TokenDecision.Admit(cachedToken.tokenInfo, true));
            enqueueIntrospection(now, cachedToken, token);
            return;
        }
        long waitUntil = Math.min(deadline - policy.margin(), now + policy.maxWait());
        if (waitUntil <= now || checksByWaiter.size() >= policy.maxWaiting()) {
            actions.decided(
                    waiterId,
                    fallbackDecision(
                            now,
                            cachedToken,
                            waitUntil <= now
                                    ? "no time left to check the token"
                                    : "too many requests wait for token checks"));
            return;
        }
        if (cachedToken == null) {
            cachedToken = new CachedToken(key);
            putBounded(otherTokens, cachedToken, Math.max(1, policy.maxEntries() / OTHER_TOKENS_DIVISOR));
        }
        var waitingCheck = new WaitingCheck(waiterId, cachedToken);
        waitingCheck.timeout = timingWheel.add(waitingCheck, waitUntil);
        checksByWaiter.put(waiterId, waitingCheck);
        cachedToken.waiters.add(waitingCheck);
        enqueueIntrospection(now, cachedToken, token);
    }

    /** Cancels the check of a waiter whose client has left; no decision follows. */
    public void cancel(long waiterId) {
        WaitingCheck waitingCheck = checksByWaiter.get(waiterId);
        if (waitingCheck != null) {
            removeWaiter(waitingCheck);
        }
    }

    /**
     * Returns what is known about a token without a call; {@code ACTIVE} includes a stale response that is still
     * usable.
     */
    public TokenStatus status(long now, TokenKey key) {
        CachedToken cachedToken = findToken(key);
        if (cachedToken == null || cachedToken.tokenInfo == null && !cachedToken.inactive) {
            return TokenStatus.UNKNOWN;
        }
        if (cachedToken.inactive) {
            return now - cachedToken.confirmedAt < policy.inactiveTtl() ? TokenStatus.DEAD : TokenStatus.UNKNOWN;
        }
        if (cachedToken.expired(now)) {
            return TokenStatus.DEAD;
        }
        return cachedToken.usableWhenStale(now) ? TokenStatus.ACTIVE : TokenStatus.UNKNOWN;
    }

    /** Records the end of a call; ignored if the call is not outstanding. */
    public void callEnded(long now, long callId, IntrospectionResult result) {
        CachedToken cachedToken = callsById.remove(callId);
        if (cachedToken == null) {
            return;
        }
        cachedToken.callId = 0;
        if (result instanceof IntrospectionResult.Failed failed) {
            handleFailure(now, cachedToken, failed.reason());
        } else {
            handleSuccess();
            cachedToken.token = null;
            cachedToken.confirmedAt = now;
            cachedToken.inactive = result instanceof IntrospectionResult.Inactive;
            cachedToken.tokenInfo = result instanceof IntrospectionResult.Active active ? active.tokenInfo() : null;
            moveToMatchingMap(cachedToken);
            boolean denied = cachedToken.inactive || cachedToken.expired(now);
            TokenDecision decision =
                    denied ? new TokenDecision.Deny() : new TokenDecision.Admit(cachedToken.tokenInfo, false);
            decideAll(cachedToken, decision);
        }
        startCalls(now);
    }

    /** Ends waits that took too long and starts queued calls; must be called every few milliseconds. */
    public void expireWaiters(long now) {
        timingWheel.expire(now, waitingCheck -> {
            CachedToken cachedToken = waitingCheck.cachedToken;
            removeWaiter(waitingCheck);
            actions.decided(waitingCheck.waiterId, fallbackDecision(now, cachedToken, "the token check took too long"));
        });
        startCalls(now);
    }

    /**
     * Decides without a fresh response: admits a token on a usable stale response; otherwise the decision is unknown.
     */
    private TokenDecision fallbackDecision(long now, CachedToken cachedToken, String reason) {
        if (cachedToken != null && cachedToken.expired(now)) {
            return new TokenDecision.Deny();
        }
        return cachedToken != null && cachedToken.usableWhenStale(now)
                ? new TokenDecision.Admit(cachedToken.tokenInfo, true)
                : new TokenDecision.Unknown(reason);
    }

    /** Refreshes a token in use before its response becomes stale, so that no request has to wait for it. */
    private void refreshAhead(long now, CachedToken cachedToken, String token) {
        if (!cachedToken.inactive && now - cachedToken.confirmedAt > policy.activeTtl() / 4 * 3) {
            enqueueIntrospection(now, cachedToken, token);
        }
    }

    private void enqueueIntrospection(long now, CachedToken cachedToken, String token) {
        if (cachedToken.callId == 0 && !cachedToken.queued && introspectionQueue.size() < policy.maxWaiting()) {
            cachedToken.token = token;
            cachedToken.queued = true;
            introspectionQueue.add(cachedToken);
        }
        startCalls(now);
    }

    private void startCalls(long now) {
        while (!introspectionQueue.isEmpty()
                && callsById.size() < (consecutiveFailures > 0 ? 1 : policy.maxCalls())
                && now >= backoffUntil) {
            CachedToken cachedToken = introspectionQueue.poll();
            cachedToken.queued = false;
            if (cachedToken.waiters.isEmpty() && (cachedToken.tokenInfo == null || cachedToken.expired(now))) {
                // All waiters have left and the token has expired or never was active, so nobody needs the call.
                cachedToken.token = null;
                continue;
            }
            long callId = nextCallId++;
            cachedToken.callId = callId;
            callsById.put(callId, cachedToken);
            actions.introspect(callId, cachedToken.token, policy.callTimeout());
        }
    }

    private void handleFailure(long now, CachedToken cachedToken, IntrospectionResult.FailureReason failureReason) {
        consecutiveFailures++;
        boolean ownCredentials = failureReason == IntrospectionResult.FailureReason.OUR_CREDENTIALS;
        if (ownCredentials && !credentialsRejected) {
            actions.log("introspection: our own credentials are not accepted");
        }
        credentialsRejected |= ownCredentials;
        if (consecutiveFailures >= policy.failureThreshold() || ownCredentials) {
            int doublings = Math.min(30, Math.max(0, consecutiveFailures - policy.failureThreshold()));
            double backoff = Math.min(policy.maxBackoff(), policy.initialBackoff() * Math.pow(2, doublings));
            backoffUntil = now + (long) (backoff * (0.5 + random.nextDouble() / 2));
            if (!backingOff) {
                backingOff = true;
                actions.log("introspection failing (" + failureReason
                        + "): known tokens are admitted on stale responses, others wait or are refused");
            }
            // Known tokens do not wait for the end of the backoff.
            List.copyOf(callsById.values()).forEach(otherToken -> admitStale(now, otherToken));
            List.copyOf(introspectionQueue).forEach(otherToken -> admitStale(now, otherToken));
        }
        admitStale(now, cachedToken);
        if (!cachedToken.waiters.isEmpty() && !cachedToken.queued) {
            // Waiters with time left wait for another call, at the end of the queue.
            cachedToken.queued = true;
            introspectionQueue.add(cachedToken);
        } else if (!cachedToken.queued) {
            cachedToken.token = null;
        }
    }

    private void admitStale(long now, CachedToken cachedToken) {
        if (cachedToken.usableWhenStale(now)) {
            decideAll(cachedToken, new TokenDecision.Admit(cachedToken.tokenInfo, true));
        }
    }

    private void handleSuccess() {
        if (backingOff) {
            actions.log("introspection responds again");
        }
        consecutiveFailures = 0;
        backingOff = false;
        credentialsRejected = false;
        backoffUntil = Long.MIN_VALUE;
    }

    private void decideAll(CachedToken cachedToken, TokenDecision decision) {
        for (WaitingCheck waitingCheck : new ArrayList<>(cachedToken.waiters)) {
            if (cachedToken.waiters.contains(waitingCheck)) {
                removeWaiter(waitingCheck);
                actions.decided(waitingCheck.waiterId, decision);
            }
        }
    }

    private void removeWaiter(WaitingCheck waitingCheck) {
        checksByWaiter.remove(waitingCheck.waiterId);
        waitingCheck.cachedToken.waiters.remove(waitingCheck);
        timingWheel.cancel(waitingCheck.timeout);
    }

    private CachedToken findToken(TokenKey key) {
        CachedToken cachedToken = activeTokens.get(key);
        return cachedToken != null ? cachedToken : otherTokens.get(key);
    }

    private void moveToMatchingMap(CachedToken cachedToken) {
        if (cachedToken.inactive) {
            activeTokens.remove(cachedToken.key);
            putBounded(otherTokens, cachedToken, Math.max(1, policy.maxEntries() / OTHER_TOKENS_DIVISOR));
        } else {
            otherTokens.remove(cachedToken.key);
            putBounded(activeTokens, cachedToken, policy.maxEntries());
        }
    }

    /**
     * Adds an entry and evicts an idle one if necessary. Few of the eldest entries are in use, so 8 are examined at
     * most.
     */
    private static void putBounded(LinkedHashMap<TokenKey, CachedToken> map, CachedToken cachedToken, int maxSize) {
        if (!map.containsKey(cachedToken.key) && map.size() >= maxSize) {
            Iterator<CachedToken> eldestFirst = map.values().iterator();
            for (int examined = 0; map.size() >= maxSize && examined < 8 && eldestFirst.hasNext(); examined++) {
                if (eldestFirst.next().isEvictable()) {
                    eldestFirst.remove();
                }
            }
        }
        map.put(cachedToken.key, cachedToken);
    }
}
