package thistlefall.edge.node;

import io.netty.channel.EventLoop;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import thistlefall.access.Authorizer;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.token.CustomerNumber;
import thistlefall.edge.token.IntrospectionClient;
import thistlefall.edge.token.TokenDigest;
import thistlefall.request.FailureCause;
import thistlefall.request.ResponseKind;
import thistlefall.token.IntrospectionCache;
import thistlefall.token.TokenDecision;

/**
 * Checks the bearer tokens of requests with the {@link IntrospectionCache} and turns each decision into a customer and
 * a plan, or into a refusal. Confined to the node's event loop.
 */
final class TokenAuthenticator implements IntrospectionCache.IntrospectionActions {
    /** Notified of the requests whose token permits them. */
    interface AuthenticationListener {
        /** The request belongs to this customer and has this plan, given by its index in the settings. */
        void authorized(RequestContext requestContext, long customerNumber, int planIndex);
    }

    /** Creates an authenticator that reports to the given listener. */
    interface AuthenticatorFactory {
        TokenAuthenticator create(AuthenticationListener authenticationListener);
    }

    private final NodeClock clock;
    private final NodeMetrics metrics;
    private final ActiveRequests activeRequests;
    private final Consumer<String> logSink;
    private final AuthenticationListener authenticationListener;
    private final IntrospectionCache introspectionCache;
    private final TokenDigest tokenDigest = new TokenDigest();
    private final IntrospectionClient introspectionClient;
    private final Authorizer authorizer;
    private final Map<Long, RequestContext> pendingRequests = new HashMap<>();
    private long nextWaiterId;

    TokenAuthenticator(
            NodeSettings settings,
            EventLoop eventLoop,
            long seed,
            NodeClock clock,
            NodeMetrics metrics,
            ActiveRequests activeRequests,
            Consumer<String> logSink,
            AuthenticationListener authenticationListener) {
        this.clock = clock;
        this.metrics = metrics;
        this.activeRequests = activeRequests;
        this.logSink = logSink;
        this.authenticationListener = authenticationListener;
        var tokenSettings = settings.introspection();
        introspectionCache =
                new IntrospectionCache(Defaults.introspectionCachePolicy(tokenSettings), seed, clock.now(), this);
        introspectionClient = new IntrospectionClient(
                eventLoop,
                URI.create(tokenSettings.url()),
                tokenSettings.clientId(),
                tokenSettings.clientSecret(),
                Defaults.introspectionCachePolicy(tokenSettings).maxCalls(),
                settings.node().sourceAddress());
        authorizer = new Authorizer(Defaults.claimMapping(settings));
    }

    /** Returns the bearer token of a request (RFC 6750); null if there is none or more than one. */
    static String bearerToken(HttpFields fields) {
        int fieldIndex = fields.find("authorization", 0);
        if (fieldIndex < 0 || fields.find("authorization", fieldIndex + 1) >= 0) {
            return null;
        }
        String value = fields.value(fieldIndex);
        boolean bearerScheme = value.length() > 7 && value.regionMatches(true, 0, "Bearer ", 0, 7);
        String token = bearerScheme ? value.substring(7).strip() : "";
        return token.isEmpty() || token.length() > 4096 || token.indexOf(' ') >= 0 ? null : token;
    }

    /** Starts the check of a token; the decision may be reported before this method returns. */
    void authenticate(RequestContext requestContext, String token, long deadline) {
        requestContext.tokenWaiterId = nextWaiterId++;
        requestContext.tokenKey = tokenDigest.of(token);
        pendingRequests.put(requestContext.tokenWaiterId, requestContext);
        introspectionCache.check(clock.now(), requestContext.tokenWaiterId, requestContext.tokenKey, token, deadline);
    }

    /** Whether the request's token is now known to be inactive. */
    boolean isTokenInactive(RequestContext requestContext) {
        return introspectionCache.status(clock.now(), requestContext.tokenKey) == IntrospectionCache.TokenStatus.DEAD;
    }

    /** Cancels the check of a request that has ended. */
    void cancel(RequestContext requestContext) {
        introspectionCache.cancel(requestContext.tokenWaiterId);
        pendingRequests.remove(requestContext.tokenWaiterId);
    }

    void onTick() {
        introspectionCache.expireWaiters(clock.now());
    }

    void close() {
        introspectionClient.close();
    }

    @Override
    public void log(String message) {
        logSink.accept(message);
    }

    @Override
    public void introspect(long callId, String token, long timeout) {
        metrics.introspections++;
        introspectionClient.introspect(
                token, timeout, result -> introspectionCache.callEnded(clock.now(), callId, result));
    }

    @Override
    public void decided(long waiterId, TokenDecision tokenDecision) {
        RequestContext requestContext = pendingRequests.remove(waiterId);
        if (requestContext == null || !requestContext.trackedRequest.open()) {
            return;
        }
        if (tokenDecision instanceof TokenDecision.Admit admit) {
            metrics.staleTokens += admit.stale() ? 1 : 0;
            authorize(requestContext, admit);
        } else if (tokenDecision instanceof TokenDecision.Deny) {
            metrics.deniedTokens++;
            activeRequests.respondWithProblem(
                    requestContext,
                    ResponseKind.REFUSED,
                    FailureCause.TOKEN,
                    ProblemDetails.unauthorized("the token is not active", true));
        } else {
            metrics.unknownTokens++;
            activeRequests.respondWithProblem(requestContext, ResponseKind.REFUSED, FailureCause.TOKEN_UNKNOWN, 0);
        }
    }

    private void authorize(RequestContext requestContext, TokenDecision.Admit admit) {
        Authorizer.AuthorizationDecision decision =
                authorizer.authorize(admit.tokenInfo(), requestContext.route.requestClass());
        if (decision instanceof Authorizer.AuthorizationDecision.Forbidden forbidden) {
            activeRequests.respondWithProblem(
                    requestContext,
                    ResponseKind.REFUSED,
                    FailureCause.TOKEN,
                    ProblemDetails.forbidden(forbidden.reason(), forbidden.requiredScope()));
            return;
        }
        var allowed = (Authorizer.AuthorizationDecision.Allowed) decision;
        requestContext.customerName = toPrintable(allowed.customer());
        authenticationListener.authorized(requestContext, CustomerNumber.of(allowed.customer()), allowed.plan());
    }

    private static String toPrintable(String name) {
        boolean printable = name.chars().allMatch(c -> c > 0x20 && c < 0x7F);
        return printable ? name : name.replaceAll("[^\\x21-\\x7E]", "_");
    }
}
