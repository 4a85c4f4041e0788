package thistlefall.edge.settings;

import java.time.Duration;
import java.util.List;
import thistlefall.Ports;
import thistlefall.Ports.Group;
import thistlefall.access.Authorizer;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.settings.NodeSettings.LimitSettings;
import thistlefall.token.IntrospectionCachePolicy;

/** Converts settings to the types that the components of a node use, with defaults for absent values. */
public final class Defaults {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final long MAX_BODY_BYTES = 64L << 20;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private Defaults() {}

    private static <T> T valueOrDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** A duration in nanoseconds, or the given nanoseconds if it is null. */
    public static long nanosOrDefault(Duration duration, long defaultNanos) {
        return duration == null ? defaultNanos : duration.toNanos();
    }

    /** The limits, with no null component. */
    public static LimitSettings limits(NodeSettings settings) {
        LimitSettings limits = settings.limits();
        if (limits == null) {
            limits = new LimitSettings(
                    null, null, null, null, null, null, null, null, null, null, null, null, null, null, null, null,
                    null);
        }
        return new LimitSettings(
                valueOrDefault(limits.maxAttempts(), 4),
                valueOrDefault(limits.maxOpen(), 20_000),
                valueOrDefault(limits.maxConnections(), 20_000),
                valueOrDefault(limits.maxPipelined(), 16),
                valueOrDefault(limits.maxLine(), 8192),
                valueOrDefault(limits.maxHead(), 32768),
                valueOrDefault(limits.maxFields(), 100),
                valueOrDefault(limits.maxBody(), MAX_BODY_BYTES),
                valueOrDefault(limits.maxAnswer(), valueOrDefault(limits.maxBody(), MAX_BODY_BYTES)),
                valueOrDefault(limits.replayBody(), 64 * 1024),
                valueOrDefault(limits.headTimeout(), Duration.ofSeconds(5)),
                valueOrDefault(limits.firstTimeout(), valueOrDefault(limits.idleTimeout(), IDLE_TIMEOUT)),
                valueOrDefault(limits.idleTimeout(), IDLE_TIMEOUT),
                valueOrDefault(limits.linger(), Duration.ofSeconds(1)),
                valueOrDefault(limits.writeStall(), Duration.ofSeconds(10)),
                valueOrDefault(limits.maxRetryAfter(), Duration.ofSeconds(10)),
                valueOrDefault(limits.logEvery(), 1_000));
    }

    /** The size limits of the HTTP codec for requests. */
    public static HttpLimits requestLimits(LimitSettings limits) {
        return new HttpLimits(limits.maxLine(), limits.maxHead(), limits.maxFields(), limits.maxBody());
    }

    /** The size limits of the HTTP codec for responses. */
    public static HttpLimits responseLimits(LimitSettings limits) {
        return new HttpLimits(limits.maxLine(), limits.maxHead(), limits.maxFields(), limits.maxAnswer());
    }

    /** The policy of the token introspection cache. */
    public static IntrospectionCachePolicy introspectionCachePolicy(NodeSettings.TokenSettings settings) {
        IntrospectionCachePolicy defaults = IntrospectionCachePolicy.DEFAULT;
        return new IntrospectionCachePolicy(
                valueOrDefault(settings.maxEntries(), defaults.maxEntries()),
                valueOrDefault(settings.maxWaiting(), defaults.maxWaiting()),
                valueOrDefault(settings.maxCalls(), defaults.maxCalls()),
                nanosOrDefault(settings.freshFor(), defaults.activeTtl()),
                nanosOrDefault(settings.negativeFor(), defaults.inactiveTtl()),
                nanosOrDefault(settings.staleFor(), defaults.staleTtl()),
                nanosOrDefault(settings.waitMost(), defaults.maxWait()),
                defaults.margin(),
                nanosOrDefault(settings.callTimeout(), defaults.callTimeout()),
                defaults.failureThreshold(),
                defaults.initialBackoff(),
                defaults.maxBackoff());
    }

    /** The mapping of token claims to customers, plans and scopes. */
    public static Authorizer.Mapping claimMapping(NodeSettings settings) {
        var access = valueOrDefault(settings.access(), new NodeSettings.AccessSettings(null, null, null));
        List<String> plans =
                settings.plans().stream().map(NodeSettings.PlanSettings::name).toList();
        return new Authorizer.Mapping(
                valueOrDefault(access.customerClaim(), "client_id"),
                access.planClaim(),
                plans,
                access.defaultPlan() == null ? -1 : plans.indexOf(access.defaultPlan()),
                settings.classes().stream()
                        .map(NodeSettings.ClassSettings::scope)
                        .toList());
    }

    /** The timeout for connecting to a server, in nanoseconds. */
    public static long connectTimeout(NodeSettings settings) {
        return nanosOrDefault(settings.servers().connectTimeout(), CONNECT_TIMEOUT.toNanos());
    }

    /** The names of the values in a load report. */
    public static List<String> reportNames(NodeSettings settings) {
        return valueOrDefault(settings.servers().reports(), List.of());
    }

    /** The settings that the decision module gets at its start. */
    public static Ports.Settings moduleSettings(NodeSettings settings) {
        LimitSettings limits = limits(settings);
        List<String> zones = valueOrDefault(
                settings.zones(), List.of(valueOrDefault(settings.node().zone(), "")));
        List<Ports.RequestClass> classes = settings.classes().stream()
                .map(c -> new Ports.RequestClass(
                        c.aim().toNanos(),
                        c.deadline().toNanos(),
                        c.repeat(),
                        valueOrDefault(c.group(), Group.ALL),
                        nanosOrDefault(c.keyWindow(), 0),
                        c.lateValue(),
                        c.worth()))
                .toList();
        List<Ports.Plan> plans = settings.plans().stream()
                .map(plan -> new Ports.Plan(
                        plan.rate(),
                        plan.burst(),
                        plan.atOnce(),
                        valueOrDefault(plan.price(), 1.0),
                        plan.beyondEarns(),
                        valueOrDefault(plan.beyondCosts(), 1.0),
                        plan.ceilingRate(),
                        plan.ceilingBurst(),
                        plan.ceilingSlack()))
                .toList();
        var counterSettings = settings.counter();
        var counter = counterSettings == null
                ? new Ports.Counter(false, 50_000_000L, true, 1, false)
                : new Ports.Counter(
                        true,
                        nanosOrDefault(counterSettings.timeout(), 50_000_000L),
                        valueOrDefault(counterSettings.settles(), true),
                        valueOrDefault(counterSettings.largest(), 1.0),
                        true);
        var ruleSettings = valueOrDefault(settings.rules(), new NodeSettings.RuleSettings(null, 0.25, null, 3, null));
        var rules = new Ports.Rules(
                nanosOrDefault(ruleSettings.answerSlack(), 16_000_000L),
                ruleSettings.coldFrom(),
                nanosOrDefault(ruleSettings.coldSpan(), 20_000_000_000L),
                ruleSettings.fallMultiple(),
                nanosOrDefault(ruleSettings.fallSpan(), 1_000_000_000L));
        return new Ports.Settings(
                settings.node().number(),
                settings.node().siblings(),
                Math.max(0, zones.indexOf(settings.node().zone())),
                1_000_000L,
                valueOrDefault(settings.servers().sizesTell(), true),
                reportNames(settings),
                classes,
                plans,
                new Ports.Limits(
                        limits.maxAttempts(),
                        limits.maxOpen(),
                        valueOrDefault(settings.servers().probes(), true),
                        true,
                        limits.maxRetryAfter().toNanos(),
                        false),
                counter,
                rules);
    }
}
