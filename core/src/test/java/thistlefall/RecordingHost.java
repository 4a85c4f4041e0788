package thistlefall;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import thistlefall.Ports.Actions;
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

/** A host controlled by the test: records the actions of one gateway and calls its events. */
final class RecordingHost implements Actions {
    static final long MS = 1_000_000L;
    static final int SAFE = 0;
    static final int KEYED_CELL = 1;
    static final int UNSAFE = 2;
    static final int KEYED_ALL = 3;
    /** A plan without quota, limit on requests in flight, or ceiling. */
    static final Plan UNLIMITED = new Plan(0, 0, 0, 1, 0, 0, 0, 0, 0);

    record SentAttempt(String id, String server, long timeout, Ports.SendConditions conditions) {
        long latestSendTime() {
            return conditions.latestSendTime();
        }
    }

    record CounterAddition(long name, double amount) {}

    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final List<String> refusedIds = new ArrayList<>();
    final List<String> failedIds = new ArrayList<>();
    final List<String> withdrawnIds = new ArrayList<>();
    final List<String> probedServers = new ArrayList<>();
    final List<CounterAddition> counterCalls = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final Gateway gateway;
    long now = 1_000 * MS;
    private final int gatewaySetSize;
    private final boolean probesAllowed;
    private int nextRequestNumber;

    RecordingHost(Plan plan, int siblings, int instance) {
        this(plan, siblings, instance, true);
    }

    RecordingHost(Plan plan, int siblings, int instance, boolean counterPresent) {
        this(plan, siblings, instance, counterPresent, 7, false);
    }

    RecordingHost(Plan plan, int siblings, int instance, boolean counterPresent, long seed, boolean mayProbe) {
        gatewaySetSize = siblings;
        this.probesAllowed = mayProbe;
        gateway = new Gateway(settings(plan, siblings, instance, counterPresent, mayProbe), seed, now, this);
    }

    static Settings settings(Plan plan, int siblings, int instance, boolean counterPresent, boolean probesAllowed) {
        return new Settings(
                instance,
                siblings,
                0,
                MS,
                true,
                probesAllowed ? List.of("waiting") : List.of(),
                List.of(
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.SAFE, Group.ALL, 0, 0, 1),
                        new RequestClass(1000 * MS, 2000 * MS, Repeat.KEYED, Group.CELL, 700 * MS, 0.2, 4),
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.UNSAFE, Group.ALL, 0, 0.2, 3),
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.KEYED, Group.ALL, 700 * MS, 0, 4)),
                List.of(plan),
                new Limits(4, 1000, probesAllowed, false, 0, false),
                new Counter(counterPresent, 50 * MS, true, 4, false),
                new Rules(10 * MS, 0.25, 10_000 * MS, 3, 2_000 * MS));
    }

    /** Adds warm servers a, b, c ... that belong alternately to two zones and cells, one cell per zone. */
    RecordingHost addServers(int count) {
        for (int i = 0; i < count; i++) {
            updateServer(String.valueOf((char) ('a' + i)), i % 2, Readiness.READY, 0);
        }
        return this;
    }

    void updateServer(String id, int cell, Readiness readiness, long startedAt) {
        gateway.serverListUpdated(now, ListKind.DELTA, List.of(new Server(id, 1, cell, cell, 0, readiness, startedAt)));
    }

    String request(int requestClass, double units) {
        return request(requestClass, 0, 1, units, now + 3000 * MS);
    }

    String request(int requestClass, int plan, long customer, double units, long deadline) {
        String id = "r" + nextRequestNumber++;
        gateway.request(now, new Request(id, requestClass, plan, customer, deadline, units, gatewaySetSize, 0, false));
        return id;
    }

    /** Ends the newest attempt of a request. */
    void endAttempt(String id, Outcome outcome) {
        endAttempt(id, outcome, outcome == Outcome.OK);
    }

    void endAttempt(String id, Outcome outcome, boolean complete) {
        endAttempt(id, outcome, complete, 20 * MS);
    }

    /** Ends the newest attempt of a request, which took {@code duration} nanoseconds. */
    void endAttempt(String id, Outcome outcome, boolean complete, long duration) {
        SentAttempt last = attemptsOf(id).get(attemptsOf(id).size() - 1);
        gateway.attemptEnded(
                now,
                new Result(
                        id,
                        outcome,
                        duration,
                        last.server(),
                        complete,
                        attemptsOf(id).size() - 1,
                        0,
                        List.of()));
    }

    List<SentAttempt> attemptsOf(String id) {
        return sentAttempts.stream().filter(s -> s.id().equals(id)).toList();
    }

    /** Advances the time by {@code span} with a timer event every 10 ms, the interval that the gateway requests. */
    void advance(long span) {
        for (long end = now + span; now < end; ) {
            now += Math.min(10 * MS, end - now);
            gateway.timerExpired(now, 0);
        }
    }

    @Override
    public void send(String id, String server, long timeout, Ports.SendConditions conditions) {
        sentAttempts.add(new SentAttempt(id, server, timeout, conditions));
    }

    @Override
    public void withdraw(String id) {
        withdrawnIds.add(id);
    }

    @Override
    public void refuse(String id, long retryAfter, Reason reason) {
        refusedIds.add(id);
    }

    @Override
    public void fail(String id) {
        failedIds.add(id);
    }

    @Override
    public void probe(String server) {
        assertTrue(probesAllowed, "probes are not allowed here");
        probedServers.add(server);
    }

    @Override
    public void addToCounter(long name, double amount, long lifetime) {
        counterCalls.add(new CounterAddition(name, amount));
    }

    @Override
    public void scheduleTimer(long token, long span) {}

    @Override
    public void subscribeToServerList() {}

    @Override
    public void log(String text) {
        logLines.add(text);
    }
}
