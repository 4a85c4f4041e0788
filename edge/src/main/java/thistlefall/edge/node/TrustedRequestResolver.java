package thistlefall.edge.node;

import java.util.function.BooleanSupplier;
import thistlefall.Ports;
import thistlefall.edge.http.MalformedMessageException;

/**
 * Resolves requests whose own fields state the class, the customer and the plan, on a platform whose clients are
 * trusted. Confined to the node's event loop.
 */
final class TrustedRequestResolver implements RequestResolver {
    private final RequestDescriptor.RequestParser parser;
    private final Ports.Settings moduleSettings;
    private final ClientConnectionManager connectionManager;
    private final ActionExecutor executor;
    private final ActiveRequests activeRequests;
    private final NodeMetrics metrics;
    private final BooleanSupplier readiness;

    TrustedRequestResolver(
            RequestDescriptor.RequestParser parser,
            Ports.Settings moduleSettings,
            ClientConnectionManager connectionManager,
            ActionExecutor executor,
            ActiveRequests activeRequests,
            NodeMetrics metrics,
            BooleanSupplier readiness) {
        this.parser = parser;
        this.moduleSettings = moduleSettings;
        this.connectionManager = connectionManager;
        this.executor = executor;
        this.activeRequests = activeRequests;
        this.metrics = metrics;
        this.readiness = readiness;
    }

    @Override
    public void resolve(RequestContext requestContext) {
        if (parser.isReadinessCheck(requestContext.head)) {
            requestContext.clientConnection.sendProblem(
                    requestContext, ProblemDetails.readiness(readiness.getAsBoolean()));
            return;
        }
        try {
            RequestDescriptor descriptor = parser.parse(requestContext.head);
            String clientRequestId = parser.clientRequestId(requestContext.head);
            long clientTimeout = parser.clientTimeout(requestContext.head);
            if (activeRequests.isClientRequestIdTaken(clientRequestId)) {
                throw new MalformedMessageException(409, "a request with this id is open or may have run");
            }
            requestContext.clientRequestId = clientRequestId;
            if (connectionManager.accept(
                    requestContext, moduleSettings.classes().get(descriptor.requestClass()), clientTimeout)) {
                executor.submitRequest(requestContext, descriptor);
            }
        } catch (MalformedMessageException exception) {
            metrics.malformedRequests++;
            requestContext.clientConnection.sendProblem(
                    requestContext, ProblemDetails.clientError(exception.status(), exception.getMessage()));
        }
    }

    @Override
    public void cancel(RequestContext requestContext) {
        // Requests are resolved synchronously, so there is nothing to cancel.
    }

    @Override
    public boolean isTokenInactive(RequestContext requestContext) {
        return false;
    }

    @Override
    public void onTick() {
        // There is no periodic work.
    }

    @Override
    public void close() {
        // There are no resources to release.
    }
}
