package thistlefall.standin.load;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import thistlefall.Ports.Group;
import thistlefall.Ports.Repeat;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.settings.NodeSettings.ClassSettings;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.edge.upstream.ServiceCall;
import thistlefall.standin.trace.Trace;

/**
 * An open-loop load generator: each operation starts at its scheduled time whatever became of the others, and its
 * latency counts from that time. A try without a response in time is given up; its request class decides whether it is
 * retried. Runs on one event loop and is not thread-safe except where noted.
 */
public final class LoadGenerator {
    /**
     * Misbehaviour of the clients of one plan.
     *
     * @param plan name of the plan
     * @param maxRetries maximum number of retries, sent without backoff
     * @param patienceShare timeout of one try as a share of the request class's aim
     */
    public record RetryAbuse(String plan, int maxRetries, double patienceShare) {}

    private static final Pattern REASON = Pattern.compile("\"reason\":\"([a-z-]+)\"");
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** How long after its timeout a client still waits for a late response. */
    private static final long LATE_RESPONSE_WAIT_NANOS = 800_000_000L;

    private final EventLoop loop;
    private final Trace trace;
    private final List<ServerConnectionPool> nodePools = new ArrayList<>();
    private final List<String> nodeNames;
    private final Map<String, ClassSettings> classes = new LinkedHashMap<>();
    private final ClientTokens tokens;
    private final int retries;
    private final long backoffNanos;
    private final Map<String, Integer> outcomes = new LinkedHashMap<>();
    private final Histogram servedLatencies = new Histogram(60_000_000L, 3);
    private List<Arrival> arrivals = List.of();
    private long startedAt;
    private int nextArrival;
    private int inFlight;
    private RetryAbuse abuse;

    /** Creates clients of the nodes with the given addresses and names. */
    public LoadGenerator(
            EventLoop loop,
            Trace trace,
            List<InetSocketAddress> addresses,
            List<String> nodeNames,
            List<ClassSettings> classes,
            ClientTokens tokens,
            int retries,
            long backoffNanos) {
        this.loop = loop;
        this.trace = trace;
        this.nodeNames = nodeNames;
        this.tokens = tokens;
        this.retries = retries;
        this.backoffNanos = backoffNanos;
        classes.forEach(c -> this.classes.put(c.name(), c));
        for (InetSocketAddress address : addresses) {
            nodePools.add(new ServerConnectionPool(
                    loop,
                    address,
                    new ServerConnectionPool.PoolLimits(2_000, 1_000_000_000L, 5_000_000_000L, null),
                    HttpLimits.DEFAULT));
        }
    }

    /** Starts sending the arrivals, with now as time zero. Must be called on the event loop. */
    public void run(List<Arrival> newArrivals) {
        arrivals = newArrivals;
        startedAt = System.nanoTime();
        sendDueArrivals();
    }

    /** Makes some clients misbehave; null ends it. May be called from any thread. */
    public void abuse(RetryAbuse newAbuse) {
        loop.execute(() -> abuse = newAbuse);
    }

    private void sendDueArrivals() {
        long elapsedNanos = System.nanoTime() - startedAt;
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).at() <= elapsedNanos) {
            Arrival arrival = arrivals.get(nextArrival++);
            sendRequest(arrival, 0, startedAt + arrival.at());
        }
        if (nextArrival < arrivals.size()) {
            loop.schedule(
                    this::sendDueArrivals,
                    Math.max(0, arrivals.get(nextArrival).at() - (System.nanoTime() - startedAt)),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Whether all arrivals were sent and no request is in flight. */
    public boolean isFinished() {
        return nextArrival >= arrivals.size() && inFlight == 0;
    }

    /** Number of operations by final outcome. */
    public Map<String, Integer> outcomes() {
        return outcomes;
    }

    /** Latency of served operations in microseconds, from the scheduled time to the response. */
    public Histogram servedLatencies() {
        return servedLatencies;
    }

    private void sendRequest(Arrival arrival, int tryNumber, long scheduledAt) {
        boolean abusive = abuse != null && abuse.plan().equals(arrival.plan());
        long aimNanos = classes.get(arrival.requestClass()).aim().toNanos();
        long patienceNanos =
                abusive ? (long) Math.max(20_000_000L, aimNanos * abuse.patienceShare()) : arrival.patience();
        int node = Math.floorMod(arrival.node() + tryNumber, nodePools.size());
        String id = arrival.op() + "/" + tryNumber;
        String token = tokens.tokenFor(arrival.customer(), arrival.plan());
        ClassSettings classSettings = classes.get(arrival.requestClass());
        Map<String, String> headerFields = new LinkedHashMap<>();
        headerFields.put("Host", "api.example.org");
        headerFields.put("Authorization", "Bearer " + token);
        headerFields.put("Request-Id", id);
        headerFields.put("Request-Op", arrival.op());
        headerFields.put("Request-Guess", Integer.toString(arrival.units()));
        headerFields.put("Request-Timeout", Long.toString(patienceNanos / 1_000_000));
        if (classSettings.repeat() == Repeat.KEYED) {
            headerFields.put("Idempotency-Key", arrival.op());
        }
        trace.add(trace.event("client", "ask")
                .request(id, arrival.op(), null)
                .withNodeAndServer(nodeNames.get(node), null)
                .of(arrival.requestClass(), arrival.customer(), arrival.plan(), arrival.units())
                .within(patienceNanos));
        inFlight++;
        boolean safe = classSettings.repeat() == Repeat.SAFE;
        byte[] body = safe ? new byte[0] : ("{\"op\":\"" + arrival.op() + "\"}").getBytes();
        ServiceCall.sendOnce(
                loop,
                nodePools.get(node),
                safe ? "GET" : "POST",
                "/" + arrival.requestClass(),
                headerFields,
                body,
                MAX_BODY_BYTES,
                patienceNanos + LATE_RESPONSE_WAIT_NANOS,
                response -> {
                    inFlight--;
                    handleResponse(arrival, tryNumber, scheduledAt, id, nodeNames.get(node), token, abusive, response);
                });
    }

    private void handleResponse(
            Arrival arrival,
            int tryNumber,
            long scheduledAt,
            String id,
            String node,
            String token,
            boolean abusive,
            ServiceCall.ServiceResponse response) {
        String outcome = classifyOutcome(response);
        trace.add(trace.event("client", "answer")
                .request(id, arrival.op(), null)
                .withNodeAndServer(node, null)
                .of(arrival.requestClass(), arrival.customer(), arrival.plan(), arrival.units())
                .outcome(outcome)
                .reason(refusalReason(response)));
        if (outcome.equals("denied")) {
            tokens.renew(arrival.customer(), arrival.plan(), token);
        }
        int maxRetries = abusive ? abuse == null ? retries : abuse.maxRetries() : retries;
        if (tryNumber < maxRetries && mayRetry(arrival, outcome)) {
            long delayNanos = abusive ? 0 : backoffNanos * (1L << Math.min(tryNumber, 5));
            loop.schedule(() -> sendRequest(arrival, tryNumber + 1, scheduledAt), delayNanos, TimeUnit.NANOSECONDS);
            return;
        }
        outcomes.merge(outcome, 1, Integer::sum);
        if (outcome.equals("served")) {
            servedLatencies.recordValue(Math.min(60_000_000L, Math.max(1, (System.nanoTime() - scheduledAt) / 1_000)));
        }
    }

    private boolean mayRetry(Arrival arrival, String outcome) {
        ClassSettings classSettings = classes.get(arrival.requestClass());
        return switch (outcome) {
            case "refused", "unreached", "denied" -> true;
            case "served", "invalid" -> false;
            default -> classSettings.repeat() == Repeat.SAFE
                    || classSettings.repeat() == Repeat.KEYED && classSettings.group() == Group.ALL;
        };
    }

    /** Returns the reason code in a response that the node itself generated; null if there is none. */
    private static String refusalReason(ServiceCall.ServiceResponse response) {
        if (response.endReason() != EndReason.ANSWER
                || !"application/problem+json".equals(response.fields().get("content-type"))) {
            return null;
        }
        Matcher matcher = REASON.matcher(ServiceCall.bodyAsText(response));
        return matcher.find() ? matcher.group(1) : null;
    }

    /** Returns the outcome of a try as the client sees it. */
    static String classifyOutcome(ServiceCall.ServiceResponse response) {
        if (response.endReason() == EndReason.OVERDUE) {
            return "gave-up";
        }
        if (response.endReason() != EndReason.ANSWER && response.status() > 0) {
            return "cut";
        }
        if (response.endReason() != EndReason.ANSWER) {
            return switch (response.endReason()) {
                case REFUSED, CONNECT_OVERDUE, NO_PLACE -> "unreached";
                default -> "lost";
            };
        }
        if (response.status() < 400) {
            return "served";
        }
        if (response.status() == 401 || response.status() == 403) {
            return "denied";
        }
        String contentType = response.fields().get("content-type");
        if ("application/problem+json".equals(contentType)) {
            String text = ServiceCall.bodyAsText(response);
            if (text.contains("problem:refused")) {
                return "refused";
            }
            if (text.contains("problem:failed")) {
                return "failed";
            }
        }
        return "invalid";
    }

    /** Closes all connections. Must be called on the event loop. */
    public void close() {
        nodePools.forEach(ServerConnectionPool::close);
    }
}
