package thistlefall.edge.node;

/**
 * Determines the class, the customer and the plan of a request before it is submitted to the decision module. Called on
 * the node's event loop.
 */
interface RequestResolver {
    /**
     * Returns the response to a request for which no server is needed and nothing begins, such as a readiness check or
     * an unsound request; null if the request is to be resolved.
     */
    ProblemDetails immediateResponse(RequestContext requestContext);

    /** Accepts and resolves the request that is first on its connection, or responds to it. */
    void resolve(RequestContext requestContext);

    /** Stops resolving a request that has ended. */
    void cancel(RequestContext requestContext);

    /** Whether the request must not be sent any more because its token is now known to be inactive. */
    boolean isTokenInactive(RequestContext requestContext);

    /** Runs periodic work; called on each tick of the node's timer. */
    void onTick();

    void close();
}
