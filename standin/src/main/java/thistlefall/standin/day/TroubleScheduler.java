package thistlefall.standin.day;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import thistlefall.standin.app.AppServer;
import thistlefall.standin.auth.IntrospectionServer.IntrospectionMode;
import thistlefall.standin.consul.ConsulServer;
import thistlefall.standin.load.LoadGenerator;

/** Schedules the troubles of a day; holds for each kind of trouble what it does and how it is undone. */
final class TroubleScheduler {
    /** The effect of a kind of trouble. Delays are in milliseconds from its beginning. */
    private interface TroubleAction {
        void begin(TroubleScheduler scheduler, Day.Trouble trouble, SplittableRandom random);
    }

    private static final Map<String, TroubleAction> ACTIONS = new LinkedHashMap<>();

    static {
        ACTIONS.put(
                "counter_silent",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler.environment.counterServer.suppressReplies(true),
                        () -> scheduler.environment.counterServer.suppressReplies(false)));
        ACTIONS.put(
                "origin_slow",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler.environment.counterServer.setReplyDelayMillis((long) (3 * trouble.size())),
                        () -> scheduler.environment.counterServer.setReplyDelayMillis(0)));
        ACTIONS.put(
                "counter_down",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        trouble.size() > 0
                                ? scheduler.environment.counterServer::crash
                                : scheduler.environment.counterServer::crashKeepingData,
                        scheduler.environment.counterServer::restart));
        ACTIONS.put(
                "counter_crowded",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler.environment.counterServer.setTransactionsPerSecond(trouble.size()),
                        () -> scheduler.environment.counterServer.setTransactionsPerSecond(0)));
        ACTIONS.put(
                "flush", (scheduler, trouble, random) -> scheduler.environment.counterServer.loseKeys(trouble.size()));
        ACTIONS.put(
                "introspection_silent",
                (scheduler, trouble, random) -> scheduler.setIntrospectionMode(trouble, IntrospectionMode.SILENT));
        ACTIONS.put(
                "introspection_slow",
                (scheduler, trouble, random) -> scheduler.setIntrospectionMode(trouble, IntrospectionMode.SLOW));
        ACTIONS.put(
                "introspection_failing",
                (scheduler, trouble, random) -> scheduler.setIntrospectionMode(trouble, IntrospectionMode.FAILING));
        ACTIONS.put(
                "introspection_garbling",
                (scheduler, trouble, random) -> scheduler.setIntrospectionMode(trouble, IntrospectionMode.GARBLING));
        ACTIONS.put(
                "introspection_credentials",
                (scheduler, trouble, random) ->
                        scheduler.setIntrospectionMode(trouble, IntrospectionMode.REJECTING_CREDENTIALS));
        ACTIONS.put("token_revoked", (scheduler, trouble, random) -> scheduler
                .affectedCustomers(trouble, random)
                .forEach(scheduler.environment.clientTokens::revoke));
        ACTIONS.put("token_expiry", (scheduler, trouble, random) -> scheduler
                .affectedCustomers(trouble, random)
                .forEach(customer ->
                        scheduler.environment.clientTokens.expireSoon(customer, scheduler.planOf(customer))));
        ACTIONS.put(
                "fast_errors",
                (scheduler, trouble, random) -> scheduler.applyToServers(
                        trouble,
                        random,
                        server -> server.setFailureProbability(trouble.size()),
                        server -> server.setFailureProbability(0)));
        ACTIONS.put(
                "slow",
                (scheduler, trouble, random) -> scheduler.applyToServers(
                        trouble,
                        random,
                        server -> server.setSlowdownFactor(trouble.size()),
                        server -> server.setSlowdownFactor(1)));
        ACTIONS.put(
                "shared_slow",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler
                                .environment
                                .appServers
                                .values()
                                .forEach(server -> server.setSlowdownFactor(trouble.size())),
                        () -> scheduler
                                .environment
                                .appServers
                                .values()
                                .forEach(server -> server.setSlowdownFactor(1))));
        ACTIONS.put(
                "cut_answers",
                (scheduler, trouble, random) -> scheduler.applyToServers(
                        trouble,
                        random,
                        server -> server.setTruncationProbability(trouble.size()),
                        server -> server.setTruncationProbability(0)));
        ACTIONS.put(
                "throttle",
                (scheduler, trouble, random) -> scheduler.applyToServers(
                        trouble,
                        random,
                        server -> server.setThrottleProbability(trouble.size()),
                        server -> server.setThrottleProbability(0)));
        ACTIONS.put(
                "report_gap",
                (scheduler, trouble, random) -> scheduler.applyToServers(
                        trouble,
                        random,
                        server -> server.setLoadReportsDisabled(true),
                        server -> server.setLoadReportsDisabled(false)));
        ACTIONS.put("preempt", (scheduler, trouble, random) -> scheduler.preemptServers(trouble, random));
        ACTIONS.put("drain", (scheduler, trouble, random) -> scheduler.drainServers(trouble, random));
        ACTIONS.put("grow", (scheduler, trouble, random) -> scheduler.environment.appServers.values().stream()
                .filter(server -> server.spec().standby())
                .forEach(scheduler::startColdAndRegister));
        ACTIONS.put("shrink", (scheduler, trouble, random) -> scheduler.drainServers(trouble, random));
        ACTIONS.put(
                "zone_cut",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler.environment.network.partition(trouble.target()),
                        () -> scheduler.environment.network.heal(trouble.target())));
        ACTIONS.put("zone_loss", (scheduler, trouble, random) -> scheduler.loseZone(trouble));
        ACTIONS.put("balancer_crash", (scheduler, trouble, random) -> scheduler.crashNode(trouble));
        ACTIONS.put("balancer_stall", (scheduler, trouble, random) -> scheduler.stallNode(trouble));
        ACTIONS.put(
                "retry_abuse",
                (scheduler, trouble, random) -> scheduler.applyForDuration(
                        trouble,
                        () -> scheduler.environment.loadGenerator.abuse(
                                new LoadGenerator.RetryAbuse(trouble.target(), (int) trouble.size(), trouble.extra())),
                        () -> scheduler.environment.loadGenerator.abuse(null)));
        ACTIONS.put("hot_key", (scheduler, trouble, random) -> {});
        ACTIONS.put("slow_readers", (scheduler, trouble, random) -> scheduler.startSlowReaders(trouble));
        ACTIONS.put("malformed", (scheduler, trouble, random) -> scheduler.sendMalformedRequests(trouble));
        ACTIONS.put(
                "list_failing",
                (scheduler, trouble, random) -> scheduler.setConsulMode(trouble, ConsulServer.ConsulMode.FAILING));
        ACTIONS.put(
                "list_empty",
                (scheduler, trouble, random) -> scheduler.setConsulMode(trouble, ConsulServer.ConsulMode.EMPTY));
        ACTIONS.put(
                "list_garbling",
                (scheduler, trouble, random) -> scheduler.setConsulMode(trouble, ConsulServer.ConsulMode.GARBLING));
    }

    private final RehearsalEnvironment environment;
    private final ScheduledExecutorService executor;

    TroubleScheduler(RehearsalEnvironment environment, ScheduledExecutorService executor) {
        this.environment = environment;
        this.executor = executor;
    }

    /** Returns the names of all kinds of trouble. */
    static List<String> troubleNames() {
        return List.copyOf(ACTIONS.keySet());
    }

    static boolean isKnown(String name) {
        return ACTIONS.containsKey(name);
    }

    /** Schedules all troubles of the day; each draws from a random generator of its own, split from the seed. */
    void schedule(long seed) {
        var random = new SplittableRandom(seed);
        for (Day.Trouble trouble : environment.day.troubles()) {
            SplittableRandom troubleRandom = random.split();
            runAfter(trouble.at().toMillis(), () -> {
                environment.trace.add(
                        environment.trace.event("player", "trouble-on").outcome(trouble.name()));
                ACTIONS.get(trouble.name()).begin(this, trouble, troubleRandom);
            });
            long endMillis = trouble.at().toMillis()
                    + (trouble.len() == null ? 0 : trouble.len().toMillis());
            runAfter(
                    endMillis,
                    () -> environment.trace.add(
                            environment.trace.event("player", "trouble-off").outcome(trouble.name())));
        }
    }

    private void runAfter(long millis, Runnable action) {
        executor.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException e) {
                        org.slf4j.LoggerFactory.getLogger("thistlefall.rehearsal")
                                .error("Scheduled trouble failed", e);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void applyForDuration(Day.Trouble trouble, Runnable apply, Runnable undo) {
        apply.run();
        runAfter(trouble.len().toMillis(), undo);
    }

    private void setIntrospectionMode(Day.Trouble trouble, IntrospectionMode mode) {
        applyForDuration(
                trouble,
                () -> environment.introspectionServer.setMode(mode, (long) trouble.size()),
                () -> environment.introspectionServer.setMode(IntrospectionMode.WELL, 0));
    }

    private void setConsulMode(Day.Trouble trouble, ConsulServer.ConsulMode mode) {
        applyForDuration(
                trouble,
                () -> environment.consulServer.setMode(mode),
                () -> environment.consulServer.setMode(ConsulServer.ConsulMode.WELL));
    }

    private interface ServerAction {
        void apply(AppServer server);
    }

    private void applyToServers(Day.Trouble trouble, SplittableRandom random, ServerAction apply, ServerAction undo) {
        List<AppServer> affected = affectedServers(trouble, random);
        applyForDuration(trouble, () -> affected.forEach(apply::apply), () -> affected.forEach(undo::apply));
    }

    /**
     * Returns the servers that a trouble affects: its target, or a random fraction of those not on standby, at least
     * one.
     */
    private List<AppServer> affectedServers(Day.Trouble trouble, SplittableRandom random) {
        if (trouble.target() != null) {
            return List.of(environment.appServers.get(trouble.target()));
        }
        return sample(
                new ArrayList<>(environment.appServers.values().stream()
                        .filter(s -> !s.spec().standby())
                        .toList()),
                trouble.part(),
                random);
    }

    /** Draws a fraction of the elements, at least one; shuffles the given list. */
    private static <T> List<T> sample(List<T> all, double fraction, SplittableRandom random) {
        Collections.shuffle(all, new Random(random.nextLong()));
        return all.subList(0, Math.min(all.size(), (int) Math.max(1, Math.round(fraction * all.size()))));
    }

    private List<String> affectedCustomers(Day.Trouble trouble, SplittableRandom random) {
        List<String> all = new ArrayList<>(environment.clientTokens.customers());
        Collections.sort(all);
        return all.isEmpty() ? all : sample(all, trouble.part(), random);
    }

    private String planOf(String customer) {
        return environment.day.customers().stream()
                .filter(customers -> customer.startsWith(customers.name() + "-"))
                .map(Day.Customers::plan)
                .findFirst()
                .orElseThrow();
    }

    /** Servers crash without notice, the server list drops them 600 ms later, and they come back cold at the end. */
    private void preemptServers(Day.Trouble trouble, SplittableRandom random) {
        for (AppServer server : affectedServers(trouble, random)) {
            server.crash();
            runAfter(600, () -> environment.deregister(server.spec().id()));
            runAfter(trouble.len().toMillis(), () -> startColdAndRegister(server));
        }
    }

    private void startColdAndRegister(AppServer server) {
        server.startCold();
        environment.register(server, "ready", System.currentTimeMillis() / 1e3);
    }

    /** Servers are drained one after another, removed from the server list, and started cold at the end. */
    private void drainServers(Day.Trouble trouble, SplittableRandom random) {
        List<AppServer> affected = affectedServers(trouble, random);
        long stepMillis = trouble.len().toMillis() / 2 / affected.size();
        for (int i = 0; i < affected.size(); i++) {
            AppServer server = affected.get(i);
            runAfter(i * stepMillis, () -> environment.register(server, "draining", 0));
            runAfter(i * stepMillis + trouble.len().toMillis() / 2, () -> {
                environment.deregister(server.spec().id());
                server.crash();
            });
            runAfter(i * stepMillis + trouble.len().toMillis(), () -> startColdAndRegister(server));
        }
    }

    /**
     * The servers of a zone crash together, with its nodes if the trouble's size is above 0, and come back at the end;
     * the servers start cold.
     */
    private void loseZone(Day.Trouble trouble) {
        List<AppServer> affected = environment.appServers.values().stream()
                .filter(s -> s.spec().zone().equals(trouble.target()))
                .toList();
        affected.forEach(AppServer::crash);
        runAfter(
                1_000,
                () -> affected.forEach(
                        server -> environment.deregister(server.spec().id())));
        runAfter(trouble.len().toMillis(), () -> affected.forEach(this::startColdAndRegister));
        for (int i = 0; i < environment.runningNodes.size(); i++) {
            if (environment.nodeZone(i).equals(trouble.target()) && trouble.size() > 0) {
                int node = i;
                environment.killNode(node);
                runAfter(trouble.len().toMillis(), () -> startNode(node));
            }
        }
    }

    private int targetNode(Day.Trouble trouble) {
        for (int i = 0; i < environment.runningNodes.size(); i++) {
            if (environment.nodeName(i).equals(trouble.target())) {
                return i;
            }
        }
        return 0;
    }

    private void crashNode(Day.Trouble trouble) {
        int node = targetNode(trouble);
        applyForDuration(trouble, () -> environment.killNode(node), () -> startNode(node));
    }

    private void startNode(int node) {
        try {
            environment.startNode(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void stallNode(Day.Trouble trouble) {
        int node = targetNode(trouble);
        applyForDuration(
                trouble, () -> environment.stallNode(node, trouble.len()), () -> environment.recordStallEnd(node));
    }

    private void startSlowReaders(Day.Trouble trouble) {
        Day.Customers customers = environment.day.customers().get(0);
        String safeClass = environment.day.settings().classes().stream()
                .filter(c -> c.repeat() == thistlefall.Ports.Repeat.SAFE)
                .findFirst()
                .orElseThrow()
                .name();
        for (int i = 0; i < Math.max(1, (int) trouble.size()); i++) {
            int node = i % environment.runningNodes.size();
            String token =
                    environment.clientTokens.tokenFor(customers.name() + "-" + i % customers.count(), customers.plan());
            environment.misbehavingClients.slowReader(
                    environment.nodeAddress(node),
                    "/" + safeClass,
                    token,
                    trouble.len().toMillis());
            environment.misbehavingClients.slowHead(
                    environment.nodeAddress(node), trouble.len().toMillis());
        }
    }

    private void sendMalformedRequests(Day.Trouble trouble) {
        for (int i = 0; i < Math.max(1, (int) trouble.size()); i++) {
            environment.misbehavingClients.sendMalformed(environment.nodeAddress(i % environment.runningNodes.size()));
        }
    }
}
