package thistlefall.edge.node;

import java.util.function.BooleanSupplier;
import thistlefall.Ports;
import thistlefall.edge.http.MalformedMessageException;

/**
 * Resolves requests whose own fields state the class, the customer and the plan, on a platform whose clients are
 * trusted. Confined to the node's event loop.
 */
final class TrustedRequestResolver implements RequestResolver {
    /**
     * What a request says of itself.
     *
     * @param clientTimeout how long the client waits, in nanoseconds from the request's last byte
     */
    record ParsedRequest(RequestDescriptor descriptor, String clientRequestId, long clientTimeout) {}

    private final RequestDescriptor.RequestParser parser;
    private final Ports.Settings moduleSettings;
    private final ClientRequests clientRequests;
    private final ActionExecutor executor;
    private final ActiveRequests activeRequests;
    private final NodeMetrics metrics;
    private final BooleanSupplier readiness;

    TrustedRequestResolver(
            RequestDescriptor.RequestParser parser,
            Ports.Settings moduleSettings,
            ClientRequests clientRequests,
            ActionExecutor executor,
            ActiveRequests activeRequests,
            NodeMetrics metrics,
            BooleanSupplier readiness) {
        this.parser = parser;
        this.moduleSettings = moduleSettings;
        this.clientRequests = clientRequests;
        this.executor = executor;
        this.activeRequests = activeRequests;
        this.metrics = metrics;
        this.readiness = readiness;
    }

    @Override
    public ProblemDetails immediateResponse(RequestContext requestContext) {
        if (requestContext.parsedRequest != null) {
            return null;
        }
        if (parser.isReadinessCheck(requestContext.head)) {
            return ProblemDetails.readiness(readiness.getAsBoolean());
        }
        try {
            requestContext.parsedRequest = new ParsedRequest(
                    parser.parse(requestContext.head),
                    parser.clientRequestId(requestContext.head),
                    parser.clientTimeout(requestContext.head));
            return null;
        } catch (MalformedMessageException exception) {
            metrics.malformedRequests++;
            return ProblemDetails.clientError(exception.status(), exception.getMessage());
        }
    }

    @Override
    public void resolve(RequestContext requestContext) {
        ParsedRequest parsedRequest = requestContext.parsedRequest;
        if (activeRequests.isClientRequestIdTaken(parsedRequest.clientRequestId())) {
            metrics.malformedRequests++;
            requestContext.clientConnection.sendProblem(
                    requestContext, ProblemDetails.clientError(409, "a request with this id is open or may have run"));
            return;
        }
        RequestDescriptor descriptor = parsedRequest.descriptor();
        requestContext.clientRequestId = parsedRequest.clientRequestId();
        if (clientRequests.accept(
                requestContext,
                moduleSettings.classes().get(descriptor.requestClass()),
                parsedRequest.clientTimeout())) {
            executor.submitRequest(requestContext, descriptor);
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
