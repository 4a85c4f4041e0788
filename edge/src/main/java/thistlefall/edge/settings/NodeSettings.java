package thistlefall.edge.settings;

import java.time.Duration;
import java.util.List;
import thistlefall.Ports.Group;
import thistlefall.Ports.Repeat;

/**
 * All settings of one edge node. An absent component is null and means its default, see {@code Defaults}. Units are the
 * cost units of the decision module. Component names are bound to the names in the settings file.
 */
public record NodeSettings(
        Identity node,
        Listen listen,
        List<String> zones,
        List<String> kinds,
        List<ClassSettings> classes,
        List<RouteSettings> routes,
        List<PlanSettings> plans,
        AccessSettings access,
        LimitSettings limits,
        TokenSettings introspection,
        CounterSettings counter,
        ServerSettings servers,
        RuleSettings rules) {

    /**
     * The identity of this node.
     *
     * @param name its name in logs and traces
     * @param number its number among the nodes, from 0
     * @param siblings the number of nodes
     * @param zone its zone
     * @param sourceAddress the local address of its outgoing connections; null for any
     */
    public record Identity(String name, int number, int siblings, String zone, String sourceAddress) {}

    /** The address on which clients connect; port 0 selects any free port. */
    public record Listen(String host, int port) {}

    /** A class of requests; see {@link thistlefall.Ports.RequestClass}. */
    public record ClassSettings(
            String name,
            Duration aim,
            Duration deadline,
            Repeat repeat,
            Group group,
            Duration keyWindow,
            double lateValue,
            double worth,
            String scope) {}

    /**
     * Assigns a class to requests; the first matching route applies.
     *
     * @param method the method; null for any
     * @param path the path, or a prefix of it if it ends in {@code *}
     * @param requestClass the name of the class
     * @param units the estimated cost of a request
     * @param unitsField a request field with a better estimate, limited to the largest request; null for none
     * @param leastUnits the minimum of that estimate; null for 1, or for {@code units} if that is less
     */
    public record RouteSettings(
            String method, String path, String requestClass, Double units, String unitsField, Double leastUnits) {}

    /** A plan; see {@link thistlefall.Ports.Plan}. */
    public record PlanSettings(
            String name,
            double rate,
            double burst,
            int atOnce,
            Double price,
            double beyondEarns,
            Double beyondCosts,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /** The token claims that contain the customer and the plan, and the plan for tokens without one. */
    public record AccessSettings(String customerClaim, String planClaim, String defaultPlan) {}

    /**
     * Limits of the node.
     *
     * @param maxAttempts maximum attempts of one request
     * @param maxOpen maximum requests in progress at once
     * @param maxConnections maximum client connections
     * @param maxPipelined maximum requests read from one connection before the response to the first
     * @param maxLine maximum bytes of a line of a head
     * @param maxHead maximum bytes of a head
     * @param maxFields maximum field lines of a head
     * @param maxBody maximum bytes of a request body
     * @param maxAnswer maximum bytes of a response body
     * @param replayBody maximum bytes of a request body that is kept for another attempt; a longer body is sent once
     * @param headTimeout a head must be complete this long after its first byte
     * @param firstTimeout a client connection without its first request is closed this long after it was opened
     * @param idleTimeout a client connection without a request is closed after this time
     * @param linger how long a client may still send after its last response before its connection is closed
     * @param writeStall a client connection that accepts no bytes for this long is closed
     * @param maxRetryAfter the maximum Retry-After
     * @param logEvery one in this many requests is logged; 0 for none
     */
    public record LimitSettings(
            Integer maxAttempts,
            Integer maxOpen,
            Integer maxConnections,
            Integer maxPipelined,
            Integer maxLine,
            Integer maxHead,
            Integer maxFields,
            Long maxBody,
            Long maxAnswer,
            Integer replayBody,
            Duration headTimeout,
            Duration firstTimeout,
            Duration idleTimeout,
            Duration linger,
            Duration writeStall,
            Duration maxRetryAfter,
            Integer logEvery) {}

    /** The introspection service; see {@link thistlefall.token.IntrospectionCachePolicy} for the limits and times. */
    public record TokenSettings(
            String url,
            String clientId,
            String clientSecret,
            Integer maxEntries,
            Integer maxWaiting,
            Integer maxCalls,
            Duration freshFor,
            Duration negativeFor,
            Duration staleFor,
            Duration waitMost,
            Duration callTimeout) {}

    /**
     * The shared counter.
     *
     * @param parts host and port of each part
     * @param timeout the timeout of a call; after a timeout it is unknown whether the call was counted
     * @param settles whether responses report the true units of a request
     * @param largest the largest request, in units
     */
    public record CounterSettings(List<String> parts, Duration timeout, Boolean settles, Double largest) {}

    /**
     * The app servers and the source of their list.
     *
     * @param file a file with the list, read again whenever it changes
     * @param consul base URL of a service with Consul's health API
     * @param service the service's name there
     * @param probes whether servers are probed for their load
     * @param probePath the path of a probe
     * @param reports names of the values in a load report, in the form of ORCA's named metrics
     * @param sizesTell whether the sizes in the list are meaningful
     * @param maxConnections maximum connections to one server
     * @param connectTimeout the timeout for establishing a connection
     * @param idleTimeout an unused connection is closed after this time
     */
    public record ServerSettings(
            String file,
            String consul,
            String service,
            Boolean probes,
            String probePath,
            List<String> reports,
            Boolean sizesTell,
            Integer maxConnections,
            Duration connectTimeout,
            Duration idleTimeout) {}

    /** The parameters of the rules; see {@link thistlefall.Ports.Rules}. */
    public record RuleSettings(
            Duration answerSlack, double coldFrom, Duration coldSpan, double fallMultiple, Duration fallSpan) {}
}
