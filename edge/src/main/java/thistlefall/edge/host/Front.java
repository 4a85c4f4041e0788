package thistlefall.edge.host;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import thistlefall.Ports;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.settings.Defaults;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.upstream.ServerPool;
import thistlefall.ledger.Cause;
import thistlefall.ledger.Ledger;

/** Joins the parts of a node: intake, tokens, carrying out, counter, list and answers; starts and stops them. */
final class Front {
    /** What the module has not ended by then is ended by the ledger. */
    private static final long LEDGER_GUARD = 12_000_000L;

    private final NodeClock clock;
    private final NodeCounts counts = new NodeCounts();
    private final Timers timers;
    private final Answers answers;
    private final TokenCheck tokens;
    private final Upstreams upstreams;
    private final Carrier carrier;
    private final CounterSide counter;
    private final ListSide list;
    private final Intake intake;

    Front(NodeSettings settings, EdgeNode.Options options, EventLoop loop, Logger log) {
        var random = new SplittableRandom(options.seed());
        String name = settings.node().name();
        Seams seams = options.seams();
        clock = new NodeClock(name, options.wall(), log);
        Ports.Settings module = seams.settings(Defaults.module(settings));
        var limits = Defaults.limits(settings);
        HttpLimits http = Defaults.http(limits);
        String life = name + "-" + Long.toString(clock.now() / 1_000_000, 36) + "-";
        answers = new Answers(name, new Ledger(life, limits.maxOpen(), LEDGER_GUARD, System.nanoTime()), counts, seams, log,
            limits.logEvery());
        timers = new Timers(loop, this::beat);
        var s = settings.servers();
        upstreams = new Upstreams(loop, new ServerPool.Limits(s.maxConnections() == null ? 100 : s.maxConnections(),
            Defaults.connectTimeout(settings), Defaults.nanos(s.idleTimeout(), 15_000_000_000L),
            settings.node().sourceAddress()), http, s.probePath() == null ? "/health" : s.probePath(),
            Defaults.reports(settings), this::probed);
        carrier = new Carrier(name, loop, log, clock, timers, counts, answers, module, upstreams);
        tokens = new TokenCheck(settings, loop, random.nextLong(), clock, counts, answers, carrier::log,
            carrier::entitled);
        counter = new CounterSide(settings, loop, random.nextLong(), counts, carrier::counted);
        list = new ListSide(settings, loop, random.nextLong(), counts, upstreams, log, carrier::list);
        intake = new Intake(new Routes(settings), module, limits.maxConnections(), clock, counts, answers);
        intake.join(tokens, carrier);
        carrier.join(intake, tokens, counter);
        loop.execute(() -> {
            carrier.start(random.nextLong(), seams);
            list.start(seams);
        });
    }

    private void probed(String server, Ports.Outcome outcome, long took, java.util.List<Double> report) {
        carrier.probed(server, outcome, took, report);
    }

    Intake intake() {
        return intake;
    }

    Timers timers() {
        return timers;
    }

    NodeCounts counts() {
        return counts;
    }

    private void beat() {
        long mono = System.nanoTime();
        clock.beat(mono);
        tokens.beat();
        answers.expire(mono, carrier::gone);
    }

    /** How many answers are owed. */
    int owed() {
        return answers.owed();
    }

    /** No new request is taken from here on. */
    void drain() {
        intake.drain();
    }

    /** Answers what is still owed, then closes everything. */
    void close() {
        answers.settleAll(Cause.STOPPING);
        kill();
    }

    /** Closes everything as a crash would: no answer is given. */
    void kill() {
        carrier.close();
        list.stop();
        timers.stop();
        answers.dropAll();
        intake.close();
        upstreams.close();
        tokens.close();
        counter.close();
    }
}
