package thistlefall.edge.host;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import thistlefall.Ports;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Request;
import thistlefall.Ports.RequestClass;
import thistlefall.Ports.Result;
import thistlefall.Ports.Server;
import thistlefall.access.Access;
import thistlefall.clock.SharedTimeline;
import thistlefall.edge.http.Fields;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.list.ConsulList;
import thistlefall.edge.list.FileList;
import thistlefall.edge.list.ListReader;
import thistlefall.edge.list.ListSource;
import thistlefall.edge.list.Listed;
import thistlefall.edge.resp.Counter;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.token.IntrospectionClient;
import thistlefall.edge.token.TokenDigest;
import thistlefall.edge.upstream.ServerPool;
import thistlefall.ledger.Answer;
import thistlefall.ledger.Ledger;
import thistlefall.roster.Roster;
import thistlefall.token.TokenDesk;
import thistlefall.token.Verdict;

/**
 * What stands between the clients and the decisions: it owes each accepted request its one answer (the ledger keeps
 * the book), has its token judged, hands it to the module, and carries out what the module asks for.
 */
final class Front implements Ports.Actions, TokenDesk.Actions, ListSource.Listener {
    /** The module is told a deadline so much before the client's, so that its answer is written in time. */
    private static final long MODULE_GUARD = 30_000_000L;
    /** What the module has not ended by then is ended by the ledger. */
    private static final long LEDGER_GUARD = 12_000_000L;
    private static final long OBSERVE = 1_000_000_000L;
    private static final String TIMEOUT_FIELD = "request-timeout";

    private final NodeSettings settings;
    private final Logger log;
    private final EventLoop loop;
    private final Set<Fault> faults;
    private final Timers timers;
    private final SharedTimeline timeline;
    private final WallClock wall;
    private final Ledger ledger;
    private final TokenDesk desk;
    private final TokenDigest digest = new TokenDigest();
    private final IntrospectionClient introspection;
    private final Access access;
    private final Routes routes;
    private final ModuleHost module;
    private final Ports.Settings moduleSettings;
    private final Roster roster = new Roster(new Roster.Policy(0.5, 3_000_000_000L));
    private final Upstreams upstreams;
    private final Counter counter;
    private final ListSource source;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Exchange> checking = new HashMap<>();
    private final Set<ClientConnection> clients = new HashSet<>();
    private final Map<Exchange, Request> afterStall = new HashMap<>();
    private final NodeCounts counts = new NodeCounts();
    private final int logEvery;
    private final int maxConnections;
    private long answers;
    private long nextWaiter;
    private long observedAt;
    private boolean draining;
    private boolean closed;

    Front(NodeSettings settings, EdgeNode.Options options, EventLoop loop, Logger log) {
        this.settings = settings;
        this.log = log;
        this.loop = loop;
        faults = options.faults();
        wall = options.wall();
        long mono = System.nanoTime();
        timeline = new SharedTimeline(mono, wall.epochNanos());
        observedAt = mono;
        var random = new SplittableRandom(options.seed());
        var limits = Defaults.limits(settings);
        HttpLimits http = Defaults.http(limits);
        logEvery = limits.logEvery();
        maxConnections = limits.maxConnections();
        String life = settings.node().name() + "-" + Long.toString(timeline.at(mono) / 1_000_000, 36) + "-";
        ledger = new Ledger(life, limits.maxOpen(), LEDGER_GUARD, mono);
        desk = new TokenDesk(Defaults.desk(settings.introspection()), random.nextLong(), now(), this);
        String own = settings.node().sourceAddress();
        var t = settings.introspection();
        introspection = new IntrospectionClient(loop, URI.create(t.url()), t.clientId(), t.clientSecret(),
            Defaults.desk(t).maxCalls(), own);
        access = new Access(Defaults.access(settings));
        routes = new Routes(settings);
        var s = settings.servers();
        upstreams = new Upstreams(loop, new ServerPool.Limits(s.maxConnections() == null ? 100 : s.maxConnections(),
            Defaults.connectTimeout(settings), Defaults.nanos(s.idleTimeout(), 15_000_000_000L), own), http,
            s.probePath() == null ? "/health" : s.probePath(), Defaults.reports(settings), this::probed);
        counter = settings.counter() == null ? null : new Counter(loop, settings.counter().parts().stream()
            .map(Front::address).toList(), Defaults.nanos(settings.counter().timeout(), 50_000_000L),
            random.nextLong(), own);
        moduleSettings = faulty(Defaults.module(settings));
        module = new ModuleHost(log, this::crashed);
        ListReader reader = new ListReader(settings.zones() == null ? List.of() : settings.zones(),
            settings.kinds() == null ? List.of() : settings.kinds());
        source = s.file() != null ? new FileList(loop, java.nio.file.Path.of(s.file()), reader)
            : new ConsulList(loop, URI.create(s.consul()), s.service(), reader, random.nextLong(), own);
        timers = new Timers(loop, this::beat);
        loop.execute(() -> {
            module.start(moduleSettings, random.nextLong(), now(), this);
            source.start(this);
        });
    }

    private Ports.Settings faulty(Ports.Settings s) {
        if (!faults.contains(Fault.NO_CEILING)) {
            return s;
        }
        List<Ports.Plan> plans = s.plans().stream().map(p -> new Ports.Plan(0, 0, p.atOnce(), p.price(),
            p.beyondEarns(), p.beyondCosts(), 0, 0, 0)).toList();
        return new Ports.Settings(s.me(), s.siblings(), s.zone(), s.tick(), s.sizesTell(), s.reports(), s.classes(),
            plans, s.limits(), s.counter(), s.rules());
    }

    private static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    String name() {
        return settings.node().name();
    }

    Timers timers() {
        return timers;
    }

    NodeCounts counts() {
        return counts;
    }

    /** The shared time now. */
    private long now() {
        return timeline.at(System.nanoTime());
    }

    @Override
    public void log(String text) {
        log.atInfo().addKeyValue("node", name()).log(text);
    }

    private void beat() {
        long mono = System.nanoTime();
        if (mono - observedAt > OBSERVE) {
            observedAt = mono;
            timeline.observe(mono, wall.epochNanos());
            if (Math.abs(timeline.offset()) > OBSERVE) {
                log.atWarn().addKeyValue("node", name()).addKeyValue("offset_ms", timeline.offset() / 1_000_000)
                    .log("clock stepped; worked off slowly");
            }
        }
        desk.timer(now());
        ledger.expire(mono, (entry, answer) -> {
            Exchange exchange = exchanges.get(entry.id());
            counts.endedByLedger++;
            if (exchange != null) {
                settle(exchange, answer, "the request's time is up", 0);
                tellModuleGone(exchange);
            }
        });
    }

    // ---- clients ------------------------------------------------------------------------------------------

    boolean opened(ClientConnection client) {
        if (draining || clients.size() >= maxConnections) {
            counts.connectionsTurnedAway++;
            return false;
        }
        clients.add(client);
        return true;
    }

    void closed(ClientConnection client) {
        clients.remove(client);
    }

    /** A request is at the head of its connection's line. */
    void begin(Exchange exchange) {
        Routes.Route route = routes.find(exchange.head.method(), exchange.head.path());
        counts.requests++;
        if (route == null) {
            exchange.client.answer(exchange, Problem.client(404, "no such path here"));
            return;
        }
        exchange.route = route;
        String token = bearer(exchange.head.fields());
        if (token == null) {
            exchange.client.answer(exchange, Problem.unauthorized("a bearer token is needed", false));
            return;
        }
        RequestClass spec = moduleSettings.classes().get(route.requestClass());
        if (draining || !ledger.hasRoom()) {
            exchange.client.answer(exchange, Problem.refused(draining ? "this gateway is stopping"
                : "this gateway holds as many requests as it may", 0));
            return;
        }
        exchange.entry = ledger.accept(spec, exchange.arrived + patience(exchange, spec));
        exchanges.put(exchange.entry.id(), exchange);
        exchange.waiter = nextWaiter++;
        exchange.key = digest.of(token);
        checking.put(exchange.waiter, exchange);
        desk.check(now(), exchange.waiter, exchange.key, token, sharedDeadline(exchange));
    }

    private static String bearer(Fields fields) {
        int line = fields.find("authorization", 0);
        if (line < 0 || fields.find("authorization", line + 1) >= 0) {
            return null;
        }
        String value = fields.value(line);
        boolean bearer = value.length() > 7 && value.regionMatches(true, 0, "Bearer ", 0, 7);
        String token = bearer ? value.substring(7).strip() : "";
        return token.isEmpty() || token.length() > 4096 || token.indexOf(' ') >= 0 ? null : token;
    }

    /** How long the client waits: as it says, but no longer than its class allows. */
    private static long patience(Exchange exchange, RequestClass spec) {
        String told = exchange.head.fields().get(TIMEOUT_FIELD);
        Double ms = told == null ? null : LoadReport.number(told);
        return ms == null ? spec.deadline() : Math.min(spec.deadline(), (long) (ms * 1e6));
    }

    /** The deadline in shared time, as told to the module and the desk: never later than the client's. */
    private long sharedDeadline(Exchange exchange) {
        long left = exchange.entry.deadline() - System.nanoTime() - MODULE_GUARD;
        return now() + SharedTimeline.atLeast(left);
    }

    // ---- tokens -------------------------------------------------------------------------------------------

    @Override
    public void ask(long call, String token, long timeout) {
        counts.introspections++;
        introspection.ask(token, timeout, report -> desk.answered(now(), call, report));
    }

    @Override
    public void settle(long waiter, Verdict verdict) {
        Exchange exchange = checking.remove(waiter);
        if (exchange == null || !exchange.entry.open()) {
            return;
        }
        if (verdict instanceof Verdict.Admit admit) {
            counts.staleTokens += admit.stale() ? 1 : 0;
            admit(exchange, admit);
        } else if (verdict instanceof Verdict.Deny) {
            counts.deniedTokens++;
            settleWith(exchange, Answer.REFUSED, Problem.unauthorized("the token is not active", true));
        } else if (verdict instanceof Verdict.Unknown unknown) {
            counts.unknownTokens++;
            settle(exchange, Answer.REFUSED, unknown.reason(), 0);
        }
    }

    private void admit(Exchange exchange, Verdict.Admit admit) {
        Access.Decision decision = access.decide(admit.grant(), exchange.route.requestClass());
        if (decision instanceof Access.Decision.Forbidden forbidden) {
            settleWith(exchange, Answer.REFUSED, Problem.forbidden(forbidden.reason(), forbidden.neededScope()));
            return;
        }
        var entitled = (Access.Decision.Entitled) decision;
        exchange.customer = printable(entitled.customer());
        exchange.handedOver = true;
        var request = new Request(exchange.entry.id(), exchange.route.requestClass(), entitled.plan(),
            customerNumber(entitled.customer()), sharedDeadline(exchange), units(exchange),
            settings.node().siblings(), 0, false);
        if (timers.stalled()) {
            // After a stall much comes at once: who has least time left goes first.
            afterStall.put(exchange, request);
            if (afterStall.size() == 1) {
                loop.execute(this::handOverAfterStall);
            }
            return;
        }
        module.event(exchange, events -> events.request(now(), request));
    }

    private void handOverAfterStall() {
        Map<Exchange, Request> ready = new HashMap<>(afterStall);
        afterStall.clear();
        ready.keySet().stream().filter(exchange -> exchange.entry.open())
            .sorted(Comparator.comparingLong(exchange -> exchange.entry.deadline()))
            .forEach(exchange -> module.event(exchange, events -> events.request(now(), ready.get(exchange))));
    }

    /** The guess of what a request costs: its own, if the route lets it tell one, up to the largest. */
    private double units(Exchange exchange) {
        Routes.Route route = exchange.route;
        String told = route.unitsField() == null ? null : exchange.head.fields().get(route.unitsField());
        Double units = told == null ? null : LoadReport.number(told);
        return units == null || units <= 0 ? route.units() : Math.min(units, moduleSettings.counter().largest());
    }

    private static String printable(String name) {
        boolean plain = name.chars().allMatch(c -> c > 0x20 && c < 0x7F);
        return plain ? name : name.replaceAll("[^\\x21-\\x7E]", "_");
    }

    /**
     * The number under which the counter knows a customer: 63 bits of XXH3 of its name, the same on every node and in
     * every life. Two of a million customers share one with a chance of 5.4e-8.
     */
    static long customerNumber(String name) {
        return Hashing.xxh3_64().hashCharsToLong(name) >>> 1;
    }

    // ---- the module's actions -----------------------------------------------------------------------------

    @Override
    public void send(String id, String server, long patience) {
        Exchange exchange = exchanges.get(id);
        if (exchange == null) {
            // Settled after an exception; the module must not wait for the end of what never began.
            module.event(null, events -> events.attemptEnded(now(), new Result(id, Outcome.NOT_SENT, 0, server, true,
                0, 0, List.of())));
            return;
        }
        if (!ledger.start(exchange.entry)) {
            notSent(exchange, server, exchange.entry.attempts());
            return;
        }
        int number = exchange.entry.attempts() - 1;
        boolean tokenDied = number > 0
            && desk.standing(now(), exchange.key) == TokenDesk.Standing.DEAD;
        ServerPool pool = upstreams.pool(faults.contains(Fault.COLD_FIRST) ? coldFirst(server) : server);
        if (tokenDied || pool == null || number > 0 && !exchange.body.replayable()) {
            ledger.ended(exchange.entry, Outcome.NOT_SENT);
            notSent(exchange, server, number);
            return;
        }
        counts.attempts++;
        exchange.attempt = new Attempt(this, exchange, server, number);
        long left = exchange.entry.deadline() - MODULE_GUARD - System.nanoTime();
        exchange.attempt.start(pool, patience <= 0 ? left : Math.min(patience, left));
    }

    private void notSent(Exchange exchange, String server, int number) {
        module.event(exchange, events -> events.attemptEnded(now(), new Result(exchange.entry.id(),
            Outcome.NOT_SENT, 0, server, !exchange.entry.open(), number, 0, List.of())));
        forgetIfOver(exchange);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            settle(exchange, Answer.REFUSED, retryAfter > 0 ? "the customer is beyond its quota"
                : "it could not be served in time, or the customer is beyond its quota", retryAfter);
        }
    }

    @Override
    public void fail(String id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            settle(exchange, Answer.FAILED, "an attempt may have taken effect and can't be repeated", 0);
        }
    }

    @Override
    public void probe(String server) {
        counts.probes++;
        upstreams.probe(server);
    }

    private void probed(String server, Outcome outcome, long took, List<Double> report) {
        module.event(null, events -> events.probed(now(), server, outcome, took, report));
    }

    @Override
    public void count(long name, double amount, long lifetime) {
        counts.counterCalls++;
        if (counter == null) {
            loop.execute(() -> module.event(null, e -> e.counted(now(), name, Outcome.CONNECT_FAILED, 0)));
            return;
        }
        counter.add(name, amount, lifetime, (outcome, total) -> {
            counts.counterFailures += outcome == Outcome.OK ? 0 : 1;
            module.event(null, events -> events.counted(now(), name, outcome, total));
        });
    }

    @Override
    public void timer(long token, long span) {
        loop.schedule(() -> {
            if (!closed) {
                module.event(null, events -> events.timer(now(), token));
            }
        }, span, TimeUnit.NANOSECONDS);
    }

    @Override
    public void watchList() {
        // The sources tell changes unasked.
    }

    // ---- attempts -----------------------------------------------------------------------------------------

    /** A good answer has begun: whether it may be passed on. */
    boolean answered(Exchange exchange) {
        if (faults.contains(Fault.LOSE_ANSWERS) && exchange.entry.open() && counts.served % 50 == 49) {
            // Planted: the books say answered, the client hears nothing.
            counts.served++;
            ledger.answer(exchange.entry, Answer.SERVED);
            return false;
        }
        boolean first = ledger.answer(exchange.entry, Answer.SERVED) != null;
        counts.served += first ? 1 : 0;
        if (first) {
            logAnswer(exchange, Answer.SERVED);
        }
        return first;
    }

    /** Writes down one request in some; the log's own thread does the writing. */
    private void logAnswer(Exchange exchange, Answer answer) {
        if (logEvery > 0 && ++answers % logEvery == 0) {
            log.atInfo().addKeyValue("node", name()).addKeyValue("request", exchange.entry.id())
                .addKeyValue("class", exchange.route.className()).addKeyValue("customer", exchange.customer)
                .addKeyValue("token", exchange.key.toString()).addKeyValue("attempts", exchange.entry.attempts())
                .addKeyValue("ms", (System.nanoTime() - exchange.arrived) / 1_000_000)
                .addKeyValue("outcome", answer.name().toLowerCase(java.util.Locale.ROOT)).log("request");
        }
    }

    List<Double> loadReport(Fields fields) {
        return LoadReport.of(fields, moduleSettings.reports());
    }

    /** An attempt is over, or as good as over for the module. */
    void attemptEnded(Exchange exchange, Attempt attempt, Attempt.Ended ended) {
        Outcome outcome = ended.outcome();
        if (faults.contains(Fault.FALSE_PROOF) && !outcome.provesNeverRan() && outcome != Outcome.OK) {
            outcome = Outcome.CONNECT_FAILED;
        }
        ledger.ended(exchange.entry, outcome);
        var result = new Result(exchange.entry.id(), outcome, ended.took(), attempt.server(),
            !exchange.entry.open(), attempt.number(), outcome == Outcome.OK ? ended.trueUnits() : 0, ended.report());
        module.event(exchange, events -> events.attemptEnded(now(), result));
        forgetIfOver(exchange);
    }

    private void forgetIfOver(Exchange exchange) {
        if (!exchange.entry.open() && !exchange.entry.out()) {
            exchanges.remove(exchange.entry.id());
        }
    }

    // ---- answers ------------------------------------------------------------------------------------------

    private void settle(Exchange exchange, Answer wanted, String why, long retryAfter) {
        settleWith(exchange, wanted, wanted == Answer.REFUSED ? Problem.refused(why, retryAfter)
            : Problem.failed(why));
    }

    private void settleWith(Exchange exchange, Answer wanted, Problem problem) {
        Answer given = ledger.answer(exchange.entry, wanted);
        if (given == null) {
            return;
        }
        counts.refused += given == Answer.REFUSED ? 1 : 0;
        counts.failed += given == Answer.FAILED ? 1 : 0;
        logAnswer(exchange, given);
        boolean swallowed = faults.contains(Fault.LOSE_ANSWERS) && (counts.refused + counts.failed) % 50 == 49;
        if (!swallowed) {
            exchange.client.answer(exchange, given == wanted ? problem
                : Problem.failed("an attempt may have taken effect"));
        }
        forgetIfOver(exchange);
    }

    private void tellModuleGone(Exchange exchange) {
        if (exchange.handedOver) {
            module.event(exchange, events -> events.clientGone(now(), exchange.entry.id()));
        }
    }

    /** The body of a request broke off; the client gets this answer, if any is still owed. */
    void bodyBroken(Exchange exchange, Problem problem) {
        if (exchange.entry == null) {
            exchange.client.answer(exchange, problem);
            return;
        }
        Attempt attempt = exchange.attempt;
        ledger.gone(exchange.entry);
        leave(exchange);
        exchange.client.answer(exchange, problem);
        if (attempt != null) {
            attempt.clientGone();
        }
        forgetIfOver(exchange);
    }

    /** The client has left. */
    void gone(Exchange exchange) {
        exchange.body.detach();
        if (exchange.entry == null) {
            exchange.body.release();
            return;
        }
        if (exchange.entry.open()) {
            counts.clientsGone++;
            ledger.gone(exchange.entry);
            leave(exchange);
        }
        if (exchange.attempt != null) {
            exchange.attempt.clientGone();
        }
        exchange.body.release();
        forgetIfOver(exchange);
    }

    private void leave(Exchange exchange) {
        desk.leave(exchange.waiter);
        checking.remove(exchange.waiter);
        tellModuleGone(exchange);
    }

    private void crashed(Exchange about) {
        if (about != null && about.entry != null && about.entry.open()) {
            settle(about, Ledger.truth(about.entry), "an error inside this gateway", 0);
        }
    }

    // ---- server list --------------------------------------------------------------------------------------

    @Override
    public void list(long index, List<Listed> listed) {
        upstreams.addresses(listed);
        Roster.Change change = roster.full(System.nanoTime(), index, listed.stream().map(Listed::server).toList());
        if (change.note() != null) {
            log.atWarn().addKeyValue("node", name()).log(change.note());
            if (change.kind() != null || !listed.isEmpty()) {
                loop.schedule(() -> list(index, listed), 3_100, TimeUnit.MILLISECONDS);
            }
        }
        if (!faults.contains(Fault.DEAF_TO_DRAINS)) {
            upstreams.list(roster.servers());
        }
        if (change.kind() != null) {
            List<Server> told = change.entries().stream()
                .filter(server -> !faults.contains(Fault.DEAF_TO_DRAINS) || server.readiness() == Readiness.READY)
                .toList();
            Ports.ListKind kind = faults.contains(Fault.DEAF_TO_DRAINS) ? Ports.ListKind.DELTA : change.kind();
            module.event(null, events -> events.list(now(), kind, told));
        }
    }

    /** Planted: the server that started last, while it is cold; else the one chosen. */
    private String coldFirst(String chosen) {
        long coldSince = now() - moduleSettings.rules().coldSpan();
        return roster.servers().stream().filter(s -> s.startedAt() > coldSince && roster.ready(s.id()))
            .max(Comparator.comparingLong(Server::startedAt)).map(Server::id).orElse(chosen);
    }

    @Override
    public void failed(String reason) {
        log.atWarn().addKeyValue("node", name()).log(reason);
        roster.failed();
        counts.listFailures++;
    }

    @Override
    public void reset() {
        roster.sourceReset();
    }

    // ---- stop ---------------------------------------------------------------------------------------------

    /** No new request is taken from here on. */
    void drain() {
        draining = true;
        List.copyOf(clients).forEach(ClientConnection::drain);
    }

    /** Closes everything as a crash would: no answer is given. */
    void kill() {
        closed = true;
        source.stop();
        timers.stop();
        ledger.allOpen().forEach(ledger::gone);
        List.copyOf(clients).forEach(ClientConnection::close);
        upstreams.close();
        introspection.close();
        if (counter != null) {
            counter.close();
        }
    }

    /** How many answers are owed. */
    int owed() {
        return ledger.open();
    }

    /** Answers what is still owed, then closes everything. */
    void close() {
        for (Ledger.Entry entry : ledger.allOpen()) {
            Exchange exchange = exchanges.get(entry.id());
            settle(exchange, Ledger.truth(entry), "this gateway is stopping", 0);
        }
        kill();
    }
}
