package thistlefall.edge.node;

import thistlefall.Ports;
import thistlefall.Ports.RequestClass;
import thistlefall.edge.settings.NodeSettings;

/**
 * Resolves requests with bearer tokens: the route determines the class, the token the customer and the plan. Confined
 * to the node's event loop.
 */
final class TokenRequestResolver implements RequestResolver, TokenAuthenticator.AuthenticationListener {
    private static final String TIMEOUT_FIELD = "request-timeout";

    private final RouteTable routeTable;
    private final Ports.Settings moduleSettings;
    private final ClientRequests clientRequests;
    private final ActionExecutor executor;
    private final TokenAuthenticator authenticator;

    TokenRequestResolver(
            NodeSettings settings,
            Ports.Settings moduleSettings,
            ClientRequests clientRequests,
            ActionExecutor executor,
            TokenAuthenticator.AuthenticatorFactory factory) {
        routeTable = new RouteTable(settings);
        this.moduleSettings = moduleSettings;
        this.clientRequests = clientRequests;
        this.executor = executor;
        authenticator = factory.create(this);
    }

    /** Each response depends on the route and the token. */
    @Override
    public ProblemDetails immediateResponse(RequestContext requestContext) {
        return null;
    }

    @Override
    public void resolve(RequestContext requestContext) {
        RouteTable.Route route = routeTable.find(requestContext.head.method(), requestContext.head.path());
        if (route == null) {
            requestContext.clientConnection.sendProblem(
                    requestContext, ProblemDetails.clientError(404, "no such path here"));
            return;
        }
        requestContext.route = route;
        String token = TokenAuthenticator.bearerToken(requestContext.head.fields());
        if (token == null) {
            requestContext.clientConnection.sendProblem(
                    requestContext, ProblemDetails.unauthorized("a bearer token is needed", false));
            return;
        }
        RequestClass requestClass = moduleSettings.classes().get(route.requestClass());
        if (clientRequests.accept(requestContext, requestClass, clientTimeout(requestContext, requestClass))) {
            authenticator.authenticate(requestContext, token, clientRequests.sharedDeadline(requestContext));
        }
    }

    /** Returns how long the client waits, in nanoseconds: as it says, but no longer than the request's class allows. */
    private static long clientTimeout(RequestContext requestContext, RequestClass requestClass) {
        String fieldValue = requestContext.head.fields().get(TIMEOUT_FIELD);
        Double timeoutMillis = fieldValue == null ? null : LoadReport.parseNonNegative(fieldValue);
        return timeoutMillis == null
                ? requestClass.deadline()
                : Math.min(requestClass.deadline(), (long) (timeoutMillis * 1e6));
    }

    @Override
    public void authorized(RequestContext requestContext, long customerNumber, int planIndex) {
        RouteTable.Route route = requestContext.route;
        executor.submitRequest(
                requestContext,
                new RequestDescriptor(
                        route.requestClass(),
                        route.className(),
                        planIndex,
                        customerNumber,
                        estimateUnits(requestContext),
                        moduleSettings.gatewayCount(),
                        0,
                        false));
    }

    /**
     * Estimates the cost of a request in units. If the route names a field for it, the client's own estimate is used,
     * limited to the range from the route's minimum to the largest possible cost. A client gains nothing by a low
     * estimate, since the true units in the response are charged in the end.
     */
    private double estimateUnits(RequestContext requestContext) {
        RouteTable.Route route = requestContext.route;
        String fieldValue =
                route.unitsField() == null ? null : requestContext.head.fields().get(route.unitsField());
        Double units = fieldValue == null ? null : LoadReport.parseNonNegative(fieldValue);
        return units == null || units <= 0
                ? route.units()
                : Math.max(
                        route.minUnits(),
                        Math.min(units, moduleSettings.counter().largestRequestUnits()));
    }

    @Override
    public void cancel(RequestContext requestContext) {
        authenticator.cancel(requestContext);
    }

    @Override
    public boolean isTokenInactive(RequestContext requestContext) {
        return authenticator.isTokenInactive(requestContext);
    }

    @Override
    public void onTick() {
        authenticator.onTick();
    }

    @Override
    public void close() {
        authenticator.close();
    }
}
