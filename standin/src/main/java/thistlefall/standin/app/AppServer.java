package thistlefall.standin.app;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import thistlefall.standin.net.EmulatedNetwork;
import thistlefall.standin.net.StandinHttpServer;
import thistlefall.standin.trace.Trace;

/**
 * An emulated app server with a request queue in front of a fixed number of cores, a cold start, an idempotency key
 * store shared with its group, load reports that are refreshed with a delay, and faults that a script switches on and
 * off. A cold server that gets more work than it can take goes down and stays down until it is restarted. Requests are
 * handled on the server's event loop; the fault switches may be called from any thread.
 */
public final class AppServer extends StandinHttpServer {
    /**
     * The work that a request causes.
     *
     * @param requestClass name of the request class
     * @param meanCoreSeconds mean time on a core of speed 1, in seconds
     * @param keyWindowNanos how long idempotency keys are remembered, in nanoseconds; 0 for a class without keys
     * @param group which servers share the key store: {@code all}, {@code zone} or {@code cell}
     */
    public record WorkProfile(String requestClass, double meanCoreSeconds, long keyWindowNanos, String group) {}

    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final long LOAD_REPORT_INTERVAL_NANOS = 200_000_000L;

    private final class QueuedRequest {
        private final InboundRequest inbound;
        private final WorkProfile workProfile;
        private final double workSeconds;
        private final double trueUnits;

        private QueuedRequest(InboundRequest inbound, WorkProfile workProfile, double workSeconds, double trueUnits) {
            this.inbound = inbound;
            this.workProfile = workProfile;
            this.workSeconds = workSeconds;
            this.trueUnits = trueUnits;
        }
    }

    private final AppSpec spec;
    private final Trace trace;
    private final Function<String, WorkProfile> workProfiles;
    private final Function<String, IdempotencyKeyStore> keyStores;
    private final SplittableRandom random;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private int runningRequests;
    private long startedAt;
    private boolean warm;
    private boolean downFromOverload;
    private int generation;
    private volatile double failureProbability;
    private volatile double slowdownFactor = 1;
    private volatile double truncationProbability;
    private volatile boolean loadReportsDisabled;
    private volatile double throttleProbability;
    private long reportedAt;
    private int reportedQueue;
    private int reportedInflight;
    private final ArrayDeque<double[]> recentArrivals = new ArrayDeque<>();
    private double recentWorkSeconds;

    /**
     * Creates a server that is warm until it is first restarted.
     *
     * @param workProfiles returns the work profile of a request path; null for an unknown path
     * @param keyStores returns the key store of a group by the group's name
     */
    public AppServer(
            EventLoop loop,
            EmulatedNetwork network,
            AppSpec spec,
            Trace trace,
            Function<String, WorkProfile> workProfiles,
            Function<String, IdempotencyKeyStore> keyStores,
            long seed) {
        super(loop, network, spec.zone());
        this.spec = spec;
        this.trace = trace;
        this.workProfiles = workProfiles;
        this.keyStores = keyStores;
        random = new SplittableRandom(seed);
        warm = true;
    }

    public AppSpec spec() {
        return spec;
    }

    /** Sets the probability with which a request fails immediately. */
    public void setFailureProbability(double probability) {
        failureProbability = probability;
    }

    /** Sets the factor by which all work takes longer. */
    public void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Sets the probability with which a response is truncated in the middle. */
    public void setTruncationProbability(double probability) {
        truncationProbability = probability;
    }

    /** Switches load reports off or on again. */
    public void setLoadReportsDisabled(boolean on) {
        loadReportsDisabled = on;
    }

    /** Sets the probability with which a request is rejected as unseen (503, never run). */
    public void setThrottleProbability(double probability) {
        throttleProbability = probability;
    }

    /** Whether the server went down under overload while cold. */
    public boolean isDownFromOverload() {
        return downFromOverload;
    }

    /** Crashes: closes the listener and all connections and loses all queued and running requests. */
    public void crash() {
        kill();
        loop().execute(this::discardRequests);
    }

    private void discardRequests() {
        generation++;
        queue.clear();
        runningRequests = 0;
    }

    /** Restarts the server cold on its previous address. Must not be called on the event loop. */
    public void startCold() {
        loop().submit(() -> {
                    discardRequests();
                    downFromOverload = false;
                    warm = false;
                    startedAt = System.nanoTime();
                    recentArrivals.clear();
                    recentWorkSeconds = 0;
                })
                .syncUninterruptibly();
        trace.add(trace.event("server", "started")
                .withNodeAndServer(null, spec.id())
                .withLoad(0, capacity()));
        relisten();
    }

    private double warmUpFraction() {
        if (warm) {
            return 1;
        }
        double warmUpProgress =
                (System.nanoTime() - startedAt) / (double) spec.coldSpan().toNanos();
        warm = warmUpProgress >= 1;
        return Math.min(1, spec.coldFrom() + (1 - spec.coldFrom()) * warmUpProgress);
    }

    /** Work per second that the server can do now, in seconds of a core of speed 1; ignores the scripted slowdown. */
    private double capacity() {
        return spec.cores() * spec.speed() * warmUpFraction();
    }

    @Override
    protected void handle(InboundRequest inbound) {
        if (inbound.head().path().equals("/health")) {
            inbound.respond(200, loadFields(), new byte[0]);
            return;
        }
        WorkProfile workProfile = workProfiles.apply(inbound.head().path());
        if (workProfile == null) {
            inbound.respond(404, Map.of(), new byte[0]);
            return;
        }
        double guessedUnits = parseNumber(inbound.field("request-guess"), 1);
        double workSeconds = workProfile.meanCoreSeconds() * guessedUnits * (0.5 + random.nextDouble());
        trace.add(traceEvent("got", inbound, workProfile, guessedUnits).withLoad(workSeconds, capacity()));
        recordColdArrival(workSeconds);
        if (downFromOverload) {
            inbound.disconnect();
            return;
        }
        if (random.nextDouble() < failureProbability) {
            // The request fails after it took effect, so the server's group knows its key from now on.
            trace.add(traceEvent(claimKey(inbound, workProfile) ? "ran" : "dropped", inbound, workProfile, guessedUnits)
                    .outcome("error"));
            inbound.respond(500, Map.of("Content-Type", "text/plain"), "error\n".getBytes(StandardCharsets.UTF_8));
            return;
        }
        boolean full = queue.size() >= spec.queue() && runningRequests >= spec.cores();
        if (full || random.nextDouble() < throttleProbability) {
            trace.add(traceEvent("unseen", inbound, workProfile, guessedUnits));
            Map<String, String> fields = loadFields();
            fields.put("Request-Unseen", "?1");
            inbound.respond(503, fields, new byte[0]);
            return;
        }
        double trueUnits = Math.max(1, Math.rint(guessedUnits * (0.6 + 0.8 * random.nextDouble())));
        queue.add(new QueuedRequest(inbound, workProfile, workSeconds, trueUnits));
        startQueuedRequests();
    }

    /** Records work that arrives at a cold server; too much work within the window takes the server down. */
    private void recordColdArrival(double workSeconds) {
        if (warm || warmUpFraction() >= 1) {
            return;
        }
        long now = System.nanoTime();
        double windowSeconds = spec.fallSpan().toNanos() / 1e9;
        recentArrivals.add(new double[] {now / 1e9, workSeconds});
        recentWorkSeconds += workSeconds;
        while (recentArrivals.peek()[0] < now / 1e9 - windowSeconds) {
            recentWorkSeconds -= recentArrivals.poll()[1];
        }
        if (!downFromOverload
                && recentWorkSeconds > spec.fallMultiple() * capacity() * windowSeconds + burstTolerance()) {
            downFromOverload = true;
            trace.add(trace.event("server", "fell").withNodeAndServer(null, spec.id()));
            queue.forEach(queued -> queued.inbound.disconnect());
            discardRequests();
        }
    }

    /** Tolerance for random bursts, so that a few consecutive requests to a small server don't count as overload. */
    private double burstTolerance() {
        return 0.5 * spec.cores() * spec.speed();
    }

    private void startQueuedRequests() {
        while (runningRequests < spec.cores() && !queue.isEmpty()) {
            QueuedRequest queued = queue.poll();
            runningRequests++;
            run(queued);
        }
    }

    private void run(QueuedRequest queued) {
        InboundRequest inbound = queued.inbound;
        boolean firstRun = claimKey(inbound, queued.workProfile);
        trace.add(traceEvent(firstRun ? "ran" : "dropped", inbound, queued.workProfile, queued.trueUnits));
        double serviceSeconds =
                firstRun ? queued.workSeconds / spec.speed() / warmUpFraction() * slowdownFactor : 0.001;
        int runGeneration = generation;
        loop().schedule(
                        () -> {
                            if (runGeneration == generation) {
                                runningRequests--;
                                complete(queued);
                                startQueuedRequests();
                            }
                        },
                        (long) (serviceSeconds * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    /** Claims the request's key; true if the request may run: it has no key, or one that its group has not seen. */
    private boolean claimKey(InboundRequest inbound, WorkProfile workProfile) {
        String key = inbound.field("idempotency-key");
        return workProfile.keyWindowNanos() <= 0
                || key.isEmpty()
                || keyStores
                        .apply(keyGroup(workProfile))
                        .addIfAbsent(key, System.nanoTime(), workProfile.keyWindowNanos());
    }

    private void complete(QueuedRequest queued) {
        Map<String, String> fields = loadFields();
        fields.put("Request-Units", Long.toString((long) queued.trueUnits));
        fields.put("Content-Type", "application/json");
        int requestedBytes = (int) Math.min(MAX_BODY_BYTES, parseNumber(queued.inbound.field("want-bytes"), 0));
        byte[] body = requestedBytes > 0
                ? new byte[requestedBytes]
                : ("{\"ok\":true,\"server\":\"" + spec.id() + "\"}\n").getBytes(StandardCharsets.UTF_8);
        trace.add(traceEvent("done", queued.inbound, queued.workProfile, queued.trueUnits));
        if (random.nextDouble() < truncationProbability) {
            queued.inbound.respondTruncated(200, fields, body);
        } else {
            queued.inbound.respond(200, fields, body);
        }
    }

    private String keyGroup(WorkProfile workProfile) {
        return switch (workProfile.group() == null ? "all" : workProfile.group()) {
            case "zone" -> "zone-" + spec.zone();
            case "cell" -> "cell-" + spec.cell();
            default -> "all";
        };
    }

    private Trace.TraceEvent traceEvent(String event, InboundRequest inbound, WorkProfile workProfile, double units) {
        String via = inbound.field("via");
        String id = inbound.field("request-id");
        boolean hasKey = workProfile.keyWindowNanos() > 0
                && !inbound.field("idempotency-key").isEmpty();
        return trace.event("server", event)
                .key(hasKey ? inbound.field("idempotency-key") : null, hasKey ? keyGroup(workProfile) : null)
                .request(id, inbound.field("request-op"), (int) parseNumber(inbound.field("request-attempt"), 0))
                .withNodeAndServer(via.startsWith("1.1 ") ? via.substring(4) : via, spec.id())
                .of(workProfile.requestClass(), inbound.field("request-customer"), null, units);
    }

    private Map<String, String> loadFields() {
        Map<String, String> fields = new LinkedHashMap<>();
        if (!loadReportsDisabled) {
            long now = System.nanoTime();
            if (now - reportedAt > LOAD_REPORT_INTERVAL_NANOS) {
                reportedAt = now;
                reportedQueue = queue.size();
                reportedInflight = queue.size() + runningRequests;
            }
            fields.put(
                    "endpoint-load-metrics",
                    String.format(
                            Locale.ROOT,
                            "TEXT named_metrics.queue=%d, named_metrics.inflight=%d",
                            reportedQueue,
                            reportedInflight));
        }
        return fields;
    }

    private static double parseNumber(String text, double defaultValue) {
        try {
            return text.isEmpty() ? defaultValue : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
