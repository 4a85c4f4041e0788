package thistlefall.bench;

import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import thistlefall.Gateway;
import thistlefall.Ports;
import thistlefall.Ports.Counter;
import thistlefall.Ports.Group;
import thistlefall.Ports.Limits;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Plan;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Reason;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.Request;
import thistlefall.Ports.RequestClass;
import thistlefall.Ports.Result;
import thistlefall.Ports.Rules;
import thistlefall.Ports.Server;
import thistlefall.Ports.Settings;
import thistlefall.timer.TimingWheel;
import thistlefall.token.IntrospectionCache;
import thistlefall.token.IntrospectionCachePolicy;
import thistlefall.token.IntrospectionResult;
import thistlefall.token.TokenDecision;
import thistlefall.token.TokenInfo;
import thistlefall.token.TokenKey;

/**
 * JMH benchmarks of the decisions without I/O: the decision module, the introspection cache, and the timing wheel
 * compared with a binary heap.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class ModuleBench implements Ports.Actions, IntrospectionCache.IntrospectionActions {
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int PENDING_DEADLINES = 10_000;

    private Gateway gateway;
    private long nowNanos;
    private long nextNumber;
    private String lastServer;
    private IntrospectionCache cache;
    private final TokenKey knownToken = new TokenKey(1, 2);
    private long lastCallNumber;
    private TimingWheel<Object> timingWheel;
    private final TimingWheel.ScheduledTimeout<?>[] wheelTimeouts =
            new TimingWheel.ScheduledTimeout<?>[PENDING_DEADLINES];
    private PriorityQueue<long[]> heap;
    private final long[][] heapEntries = new long[PENDING_DEADLINES][];
    private long randomState;

    /** Creates a module with ten servers, a cache with one token, and a wheel and a heap with 10,000 deadlines each. */
    @Setup
    public void setUp() {
        nowNanos = 1_000 * NANOS_PER_MS;
        var settings = new Settings(
                0,
                3,
                0,
                NANOS_PER_MS,
                true,
                List.of(),
                List.of(
                        new RequestClass(800 * NANOS_PER_MS, 3000 * NANOS_PER_MS, Repeat.SAFE, Group.ALL, 0, 0, 1),
                        new RequestClass(
                                1200 * NANOS_PER_MS, 5000 * NANOS_PER_MS, Repeat.UNSAFE, Group.ALL, 0, 0.2, 3)),
                List.of(new Plan(1e6, 1e6, 0, 1, 0, 1, 0, 0, 0)),
                new Limits(4, 20_000, false, true, 1000 * NANOS_PER_MS, false),
                new Counter(true, 50 * NANOS_PER_MS, true, 4, true),
                new Rules(16 * NANOS_PER_MS, 0.25, 10_000 * NANOS_PER_MS, 3, 1000 * NANOS_PER_MS));
        gateway = new Gateway(settings, 7, nowNanos, this);
        for (int i = 0; i < 10; i++) {
            gateway.serverListUpdated(
                    nowNanos, ListKind.DELTA, List.of(new Server("s" + i, 1, i % 3, i % 3, 0, Readiness.READY, 0)));
        }
        cache = new IntrospectionCache(IntrospectionCachePolicy.DEFAULT, 5, nowNanos, this);
        cache.check(nowNanos, 0, knownToken, "t", nowNanos + 1000 * NANOS_PER_MS);
        cache.callEnded(
                nowNanos,
                lastCallNumber,
                new IntrospectionResult.Active(new TokenInfo(Long.MAX_VALUE, Map.of("client_id", "a"))));
        timingWheel = new TimingWheel<>(2 * NANOS_PER_MS, 8192, nowNanos);
        heap = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        for (int i = 0; i < PENDING_DEADLINES; i++) {
            wheelTimeouts[i] = timingWheel.add(this, nowNanos + nextDelayNanos());
            heapEntries[i] = new long[] {nowNanos + nextDelayNanos()};
            heap.add(heapEntries[i]);
        }
    }

    private long nextDelayNanos() {
        randomState = randomState * 6364136223846793005L + 1442695040888963407L;
        return 1000 * NANOS_PER_MS + Math.floorMod(randomState >> 20, 4000) * NANOS_PER_MS;
    }

    /** Admits, sends and serves one request; calls the timer once per millisecond of the module's time. */
    @Benchmark
    public void requestThroughTheModule() {
        nowNanos += 100_000;
        if (nowNanos % NANOS_PER_MS == 0) {
            gateway.timerExpired(nowNanos, 0);
        }
        String id = Long.toString(nextNumber++, 36);
        gateway.request(
                nowNanos,
                new Request(
                        id,
                        (int) (nextNumber & 1),
                        0,
                        nextNumber % 100,
                        nowNanos + 3000 * NANOS_PER_MS,
                        2,
                        3,
                        0,
                        false));
        gateway.attemptEnded(
                nowNanos, new Result(id, Outcome.OK, 20 * NANOS_PER_MS, lastServer, true, 0, 2, List.of()));
    }

    /** Checks a known token. */
    @Benchmark
    public void tokenKnown() {
        cache.check(nowNanos, nextNumber++, knownToken, "t", nowNanos + 1000 * NANOS_PER_MS);
    }

    /** Checks a new token, including its introspection call and response. */
    @Benchmark
    public void tokenAsked() {
        long number = nextNumber++;
        cache.check(nowNanos, number, new TokenKey(number, 9), "t", nowNanos + 1000 * NANOS_PER_MS);
        cache.callEnded(nowNanos, lastCallNumber, new IntrospectionResult.Inactive());
    }

    /** Cancels one deadline and adds another among 10,000 on the timing wheel. */
    @Benchmark
    @SuppressWarnings("unchecked")
    public void deadlineOnTheWheel() {
        int i = (int) (nextNumber++ % PENDING_DEADLINES);
        timingWheel.cancel((TimingWheel.ScheduledTimeout<Object>) wheelTimeouts[i]);
        wheelTimeouts[i] = timingWheel.add(this, nowNanos + nextDelayNanos());
    }

    /** Does the same on a binary heap that supports removal. */
    @Benchmark
    public void deadlineOnAHeap() {
        int i = (int) (nextNumber++ % PENDING_DEADLINES);
        heap.remove(heapEntries[i]);
        heapEntries[i] = new long[] {nowNanos + nextDelayNanos()};
        heap.add(heapEntries[i]);
    }

    @Override
    public void send(String id, String server, long patience, Ports.SendConditions conditions) {
        lastServer = server;
    }

    @Override
    public void withdraw(String id) {}

    @Override
    public void refuse(String id, long retryAfter, Reason reason) {
        throw new IllegalStateException("refused");
    }

    @Override
    public void fail(String id) {
        throw new IllegalStateException("failed");
    }

    @Override
    public void probe(String server) {
        // The settings disable probes.
    }

    @Override
    public void addToCounter(long name, double amount, long lifetime) {
        gateway.counterCallEnded(nowNanos, name, Outcome.OK, amount);
    }

    @Override
    public void scheduleTimer(long token, long span) {
        // The benchmark calls the timer itself.
    }

    @Override
    public void subscribeToServerList() {
        // The list is set once, in setUp().
    }

    @Override
    public void log(String text) {
        // Not measured.
    }

    @Override
    public void introspect(long call, String token, long timeout) {
        lastCallNumber = call;
    }

    @Override
    public void decided(long waiter, TokenDecision decision) {
        // Not measured.
    }
}
