package thistlefall;

import java.util.*;
import org.ejml.simple.SimpleMatrix;
import thistlefall.Ports.*;

/**
 * All decisions of one gateway: quotas, fair queue, controllers, choice of server, attempts, final answers.
 * Its types, events and actions stand in {@code Ports.java}. The mechanism is that of the Proteus paper
 * (see docs/design.md); each departure says at its place what it guards against.
 */
public final class Gateway implements Ports.Events {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    private static final double NANO = 1e-9;
    /** Housekeeping: fine against the aims, coarse against the CPU bill. */
    private static final long TICK = 10 * MS;
    /** How often fresh use is pushed: a quarter of the design's window, so that totals are rarely older. */
    private static final long PUSH = SECOND / 4;
    /** A per-second count must outlive the two seconds in which it is asked for. */
    private static final long COUNT_LIFE = 4 * SECOND;
    /** No answer for so long, and the counter is silent: a call or two may be lost by chance. */
    private static final long SILENT_AFTER = SECOND / 2;
    /** Memory of the rates of use, in seconds: longer than gateways take turns in using up a store. */
    private static final double OTHERS_S = 3;
    /** The operator's limit on concurrency: requests in flight for each listed server, over all gateways. */
    private static final double OPEN_PER_SERVER = 8;
    /** Forgetting factor: a memory of some 50 intervals, as long as conditions are seen to last. */
    private static final double FORGET = 0.98;
    /** Bound on the covariance's trace per parameter, so that a quiet spell cannot wind the estimator up. */
    private static final double TRACE = 100;
    /** Actuation penalties: the concurrency loop is the slower of the two. */
    private static final double Q_SHARE = 0.3, Q_LEVEL = 0.7;
    /** Inverse latency is told in aims over latency, this many being 1, to be of one size with the shares. */
    private static final double INVERSE_UNIT = 10;
    /** The level's least part of the operator's limit: two a server keep even a slow fleet busy. */
    private static final double MIN_LEVEL = 2 / OPEN_PER_SERVER;
    /** No class starves: the smallest share. */
    private static final double MIN_SHARE = 0.02;
    /** Weight of one observation in a server's latency and error averages: about ten answers of memory. */
    private static final double ALPHA = 0.12, ALPHA_ERR = 0.2;
    /** A server is an outlier in errors from here on, if it is also well above the others. */
    private static final double EJECT_ERRORS = 0.35;
    /** At most this part of the reachable fleet is ejected for errors; the rest must bear the load. */
    private static final double EJECT_SHARE = 0.5;
    private static final long EJECT_FIRST = SECOND, EJECT_MOST = 8 * SECOND;
    /** Latency of a server not heard from drifts back to the fleet's in this time: it is tried again. */
    private static final double FORGIVE_S = 4;
    /** Further attempts per first attempt, and how many may be saved up. */
    private static final double RETRY_RATIO = 0.2, RETRY_MOST = 20;
    /** An attempt this many times slower than usual is given up where another may follow. */
    private static final double PATIENCE = 6;

    /** A first attempt needs this many times its usual span before its aim, or it is likely wasted. */
    private static final double MARGIN = 1.5;

    private final Settings cfg;
    private final Actions out;
    private final SplittableRandom random;
    private final long born;
    private long now;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<Long, Customer> customers = new LinkedHashMap<>();
    private final Map<String, Backend> servers = new LinkedHashMap<>();
    private final Lane[] lanes;
    private final Control control;
    private int inFlight;
    private double retryTokens = RETRY_MOST, drainRate;
    private int drained;
    private long nextControl, answeredAt, pushSpan = PUSH;
    private boolean silent;
    private final Map<Long, ArrayDeque<Call>> calls = new HashMap<>();

    /** A gateway that starts now; {@code seed} is its only source of chance. */
    public Gateway(Settings settings, long seed, long now, Actions actions) {
        cfg = settings;
        out = actions;
        random = new SplittableRandom(seed);
        born = now;
        this.now = now;
        lanes = new Lane[cfg.classes().size()];
        for (int i = 0; i < lanes.length; i++) { lanes[i] = new Lane(cfg.classes().get(i)); }
        control = new Control();
        answeredAt = now;
        nextControl = now + SECOND;
        out.timer(0, TICK);
        if (cfg.limits().askForList()) { out.watchList(); }
    }

    // ---- events -----------------------------------------------------------------------------------------

    @Override public void list(long at, ListKind kind, List<Server> entries) {
        now = at;
        if (kind == ListKind.FAILED) {
            out.watchList();
        } else if (kind != ListKind.DELTA) {
            List<String> named = entries.stream().map(Server::id).toList();
            servers.values().stream().filter(b -> !named.contains(b.id)).forEach(b -> b.ready = false);
        }
        for (Server entry : entries) {
            Backend known = servers.get(entry.id());
            // What was learned of a server before it started anew tells nothing of it now.
            boolean anew = known == null || known.entry.startedAt() != entry.startedAt();
            Backend backend = anew ? new Backend(entry.id()) : known;
            servers.put(entry.id(), backend);
            backend.entry = entry;
            backend.ready = entry.readiness() == Readiness.READY;
        }
        control.boundLevel();
        dispatch();
    }

    @Override public void request(long at, Request request) {
        now = at;
        boolean known = request.requestClass() >= 0 && request.requestClass() < lanes.length
            && request.plan() >= 0 && request.plan() < cfg.plans().size();
        if (!known) { out.refuse(request.id(), 0); }
        if (!known || jobs.containsKey(request.id())) { return; }
        Customer customer = customers.computeIfAbsent(request.customer(), key -> new Customer(key, request));
        Lane lane = lanes[request.requestClass()];
        lane.arrivals++;
        Admission admission = customer.admit(request);
        if (!admission.admitted) {
            out.refuse(request.id(), advice(admission.retryAfter));
            return;
        }
        Job job = new Job(request, customer, lane, admission.inQuota);
        jobs.put(request.id(), job);
        if (job.hopeless()) {
            // Some come with hardly any time left: the next look at the queue would be too late.
            giveUp(job);
            return;
        }
        int mostOpen = customer.plan.atOnce() / customer.gateways;
        if (customer.plan.atOnce() > 0 && customer.open >= Math.max(1, mostOpen)) {
            customer.parked.add(job);
        } else {
            customer.open++;
            job.open = true;
            lane.queue.add(job);
            relieve(lane);
        }
        dispatch();
    }

    @Override public void attemptEnded(long at, Result result) {
        now = at;
        Job job = jobs.get(result.id());
        if (job == null || job.backend == null) { return; }
        Backend backend = job.backend;
        job.backend = null;
        inFlight--;
        backend.ended(job, result);
        job.lane.observe(job, result);
        if (result.outcome() == Outcome.OK) {
            drained++;
            if (cfg.counter().settles() && result.trueUnits() > 0 && job.inQuota) {
                job.customer.use(result.trueUnits() - job.request.units());
            }
        }
        if (!result.outcome().provesNeverRan() && job.mayHaveRunSince == 0) {
            job.mayHaveRunSince = job.sentAt;
            job.anchor = backend;
        }
        if (result.complete() || job.over) {
            forget(job);
        } else {
            again(job);
        }
        dispatch();
    }

    @Override public void streamStarted(long at, String id) { now = at; }

    @Override public void clientGone(long at, String id) {
        now = at;
        Job job = jobs.get(id);
        if (job == null) { return; }
        job.over = true;
        if (job.backend == null) {
            job.lane.queue.remove(job);
            job.customer.parked.remove(job);
            forget(job);
        }
    }

    @Override public void counted(long at, long name, Outcome outcome, double total) {
        now = at;
        ArrayDeque<Call> pending = calls.get(name);
        Call call = pending == null ? null : pending.poll();
        if (call == null) { return; }
        if (pending.isEmpty()) { calls.remove(name); }
        call.customer.counted(call, outcome, total);
        boolean answered = outcome == Outcome.OK;
        answeredAt = answered ? now : answeredAt;
        // A crowded counter turns calls away: ask less often, and creep back.
        pushSpan = answered ? Math.max(PUSH, pushSpan - PUSH / 64) : Math.min(SECOND, pushSpan + PUSH / 4);
        if (silent != now - answeredAt > SILENT_AFTER) {
            silent = !silent;
            out.log(silent ? "counter silent: quotas divided over gateways" : "counter answers again");
        }
    }

    @Override public void probed(long at, String id, Outcome how, long took, List<Double> load) { now = at; }

    @Override public void timer(long at, long token) {
        now = at;
        out.timer(0, TICK);
        for (Lane lane : lanes) { expire(lane.queue); }
        for (Customer customer : customers.values()) {
            expire(customer.parked);
            customer.push();
        }
        if (now >= nextControl) {
            nextControl += SECOND;
            drainRate += 0.3 * (drained - drainRate);
            drained = 0;
            control.interval();
        }
        dispatch();
    }

    // ---- admission: quota, ceiling, open cap ------------------------------------------------------------

    private record Admission(boolean admitted, boolean inQuota, double retryAfter) { }

    private record Call(Customer customer, Window window, double amount) { }

    private long advice(double seconds) {
        return cfg.limits().retryAfter()
            ? Math.min(cfg.limits().maxRetryAfter(), Math.max(0, (long) (seconds * SECOND))) : 0;
    }

    /** What is known of a customer's count of one second: this gateway's part and the others'. */
    private static final class Window {
        private final long second;
        private double mine, others;
        private boolean closed;

        Window(long second) { this.second = second; }
    }

    /** What this gateway knows of a customer's use. */
    private final class Customer {
        private final long key;
        private final Plan plan;
        private final int gateways;
        private final ArrayDeque<Job> parked = new ArrayDeque<>();
        private Window current = new Window(Long.MIN_VALUE), previous = current;
        /** The quota's store as estimated here: filled at the rate, less our use, less the others' use. */
        private double store;
        /** The others' use: its rate, as of late, and what was taken off the store on its account. */
        private double othersRate, foreseen, myRate, pushed, unpushed, ceiling;
        private long refilled, heard, askedAt, pushAt, pushedAt;
        private boolean deaf, wanted;
        private int open;

        Customer(long key, Request first) {
            this.key = key;
            plan = cfg.plans().get(first.plan());
            gateways = Math.max(1, Math.min(first.setSize(), cfg.siblings()));
            store = plan.burst();
            // A restarted gateway cannot know what it spent under the ceiling: that starts with nothing.
            refilled = born;
            heard = now;
            // Pushes are spread in time: all at once they would find the counter's line full.
            pushAt = now + random.nextLong(PUSH);
        }

        /** This gateway's part of the quota: half an even split, half by who used it of late. */
        double part() {
            double all = myRate + othersRate;
            return 0.5 / gateways + (all > 1e-6 ? 0.5 * myRate / all : 0.5 / gateways);
        }

        void refill() {
            double s = (now - refilled) * NANO;
            refilled = now;
            boolean blind = gateways > 1
                && (!cfg.counter().present() || askedAt > 0 && now - askedAt > SILENT_AFTER);
            if (blind && !deaf) { store = store > 0 ? store * part() : store; }
            deaf = blind;
            // The counter rule looks two seconds back only: a long burst would pass it for ever. Instead the
            // totals feed an estimate of the store. Between totals the others go on as they did; with the
            // counter silent the quota is divided.
            double others = s * (deaf ? plan.rate() * (1 - part()) : Math.min(othersRate, plan.rate()));
            foreseen += others;
            store = Math.min(plan.burst(), store + s * plan.rate() - others);
            ceiling = Math.min(plan.ceilingBurst() / gateways, ceiling + s * plan.ceilingRate() / gateways);
        }

        Admission admit(Request request) {
            refill();
            double units = request.units();
            // The ceiling holds whatever the others do: each gateway keeps to its part of rate and burst.
            if (plan.ceilingRate() > 0 && ceiling < units) {
                return new Admission(false, false, (units - ceiling) * gateways / plan.ceilingRate());
            }
            // What the others may use before they hear of ours is kept back.
            boolean inQuota = plan.rate() <= 0 || store - othersRate * PUSH * NANO >= units;
            if (!inQuota && plan.beyondEarns() <= plan.beyondCosts()) {
                wanted = true;
                return new Admission(false, false, (units - store) / plan.rate());
            }
            ceiling -= units;
            if (inQuota) { use(units); }
            return new Admission(true, inQuota, 0);
        }

        void use(double units) {
            if (plan.rate() > 0) {
                unpushed += units;
                store -= units;
            }
        }

        /** One call for a customer with fresh use, more often when its store runs low. */
        void push() {
            if (now < pushAt || gateways == 1 || !cfg.counter().present()) { return; }
            boolean low = store < plan.burst() / 2;
            pushAt = now + (deaf ? SECOND : pushSpan);
            long second = now / SECOND;
            // A refusal asks for news too: with no use to push, the estimate could never be set right.
            if ((Math.abs(unpushed) > 1e-6 || wanted) && (low || now - pushedAt >= SECOND - TICK)) {
                if (current.second != second) {
                    previous = current;
                    current = new Window(second);
                }
                double amount = Math.rint(unpushed * 1e6) * 1e-6;
                pushed += amount;
                pushedAt = now;
                wanted = false;
                unpushed = 0;
                call(current, amount);
            }
            // A finished second is read once more if the counter has room: the others' pushes came later.
            Window last = current.second == second ? previous : current;
            if (!last.closed && pushSpan <= PUSH && last.second >= second - 2 && now % SECOND > SECOND / 4) {
                last.closed = true;
                call(last, 0);
            }
        }

        private void call(Window window, double amount) {
            long name = (key << 29) ^ (window.second & ((1L << 29) - 1)) & Long.MAX_VALUE;
            calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(new Call(this, window, amount));
            askedAt = askedAt == 0 ? now : askedAt;
            out.count(name, amount, COUNT_LIFE);
        }

        void counted(Call call, Outcome outcome, double total) {
            if (outcome.provesNeverRan()) {
                unpushed += call.amount;
                return;
            }
            Window window = call.window;
            // Without an answer it may have been added; if it was not, the next total looks like lost counts.
            window.mine += call.amount;
            if (outcome != Outcome.OK) { return; }
            askedAt = 0;
            refill();
            double others = total - window.mine;
            if (others < window.others - 1e-3) {
                // Lost counts: what is there now is new since the loss, and tells of the others what it can.
                window.mine = call.amount;
                window.others = 0;
                others = Math.max(0, total - call.amount);
            }
            double news = others - window.others;
            window.others = others;
            double s = Math.max(0.05, (now - heard) * NANO);
            heard = now;
            double gain = 1 - Math.exp(-s / OTHERS_S);
            othersRate += gain * (Math.min(news / s, 2 * plan.rate()) - othersRate);
            myRate += gain * (pushed / s - myRate);
            pushed = 0;
            // What was sent beyond the quota took nothing from the store: it cannot be far below nothing.
            store = Math.max(Math.min(plan.burst(), store - news + foreseen), -cfg.counter().largest());
            foreseen = 0;
        }

        void freed() {
            open--;
            Job next = parked.poll();
            if (next != null) {
                open++;
                next.open = true;
                next.lane.queue.add(next);
            }
        }
    }

    // ---- fair queue: C-SFQ(D) ----------------------------------------------------------------------------

    /** A request taken and not yet finished. */
    private final class Job {
        private final Request request;
        private final Customer customer;
        private final Lane lane;
        private final boolean inQuota;
        private final long arrived = now;
        private final double worth, vAtArrival = virtualTime;
        private boolean open, over;
        private int attempts;
        private Backend backend, lastBackend;
        private long sentAt, mayHaveRunSince;
        private Backend anchor;

        Job(Request request, Customer customer, Lane lane, boolean inQuota) {
            this.request = request;
            this.customer = customer;
            this.lane = lane;
            this.inQuota = inQuota;
            double part = inQuota ? 1 : customer.plan.beyondEarns() - customer.plan.beyondCosts();
            worth = lane.spec.worth() * customer.plan.price() * part;
        }

        long aimAt() { return Math.min(arrived + lane.spec.aim(), request.deadline()); }

        /** Too late to be sent for the first time and answered within its aim. */
        boolean hopeless() {
            long need = attempts == 0 ? (long) (MARGIN * cost() * SECOND) : 0;
            return now + Math.max(need, 2 * TICK + cfg.tick()) >= aimAt();
        }

        double cost() {
            return lane.service * Math.max(0.3, Math.min(3, request.units() / Math.max(1e-9, lane.units)));
        }

        boolean refusable() {
            RequestClass spec = lane.spec;
            return mayHaveRunSince == 0 || spec.repeat() == Repeat.SAFE
                || spec.repeat() == Repeat.KEYED && spec.group() == Group.ALL;
        }
    }

    private double virtualTime;

    /** A performance class: its queue, its share, its tags, and what the last interval saw of it. */
    private final class Lane {
        private final RequestClass spec;
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private double share, finishTag, service, units = 1, price = 1;
        private int arrivals, good;
        private double latencySum, waitSum;
        private final List<Double> services = new ArrayList<>();

        Lane(RequestClass spec) {
            this.spec = spec;
            service = spec.aim() * NANO / 8;
        }

        /** Start tag of the head. Computed at release, so that a changed share acts on what is queued too. */
        double startTag() { return Math.max(queue.peek().vAtArrival, finishTag); }

        void observe(Job job, Result result) {
            double took = result.took() * NANO;
            if (result.outcome() == Outcome.OK) {
                good++;
                service += 0.02 * (took - service);
                units += 0.02 * (job.request.units() - units);
                price += 0.02 * (job.customer.plan.price() * job.request.units() - price);
                latencySum += (now - job.arrived) * NANO;
                waitSum += (job.sentAt - job.arrived) * NANO;
                services.add(took);
            } else if (result.outcome() != Outcome.CANCELLED && result.outcome() != Outcome.NOT_SENT) {
                // A failure counts as slow, never as fast: errors must not open the concurrency loop.
                services.add(Math.max(took, 2 * spec.aim() * NANO));
            }
        }

        void resetInterval() {
            arrivals = good = 0;
            latencySum = waitSum = 0;
            services.clear();
        }
    }

    /** Answers what has waited too long; a short deadline may stand behind a long one. */
    private void expire(ArrayDeque<Job> waiting) {
        if (waiting.isEmpty()) { return; }
        for (Job job : waiting.stream().filter(Job::hopeless).toList()) {
            waiting.remove(job);
            giveUp(job);
        }
    }

    /** Refuses the least worth of a queue too long to be answered within its aim. */
    private void relieve(Lane lane) {
        double backlogged = 0;
        for (Lane other : lanes) { backlogged += other.queue.isEmpty() ? 0 : other.share; }
        // Before the first interval is over Little's law tells the rate; none known is not none served.
        double all = drainRate > 0 ? drainRate : control.level / lane.service;
        double rate = all * lane.share / Math.max(MIN_SHARE, backlogged);
        double budget = Math.max(lane.spec.aim() * NANO - 2 * lane.service, lane.spec.aim() * NANO / 4);
        while (inFlight >= control.level && lane.queue.size() > 1 && lane.queue.size() / rate > budget) {
            Job least = lane.queue.peek();
            for (Job job : lane.queue) { least = job.worth <= least.worth ? job : least; }
            lane.queue.remove(least);
            giveUp(least);
        }
    }

    /** Releases requests by start tag while fewer than the concurrency level are out. */
    private void dispatch() {
        while (inFlight < control.level) {
            Lane next = Arrays.stream(lanes).filter(lane -> !lane.queue.isEmpty())
                .min(Comparator.comparingDouble(Lane::startTag)).orElse(null);
            if (next == null) { return; }
            Job job = next.queue.peek();
            if (job.hopeless()) {
                next.queue.poll();
                giveUp(job);
                continue;
            }
            Backend backend = choose(job);
            if (backend == null) { return; }
            double start = next.startTag();
            next.queue.poll();
            virtualTime = start;
            next.finishTag = start + 1 / next.share;
            send(job, backend);
        }
    }

    // ---- controllers ------------------------------------------------------------------------------------

    /** Recursive least squares with forgetting: y = theta phi, all outputs sharing one covariance. */
    static final class Rls {
        private final SimpleMatrix theta;
        private SimpleMatrix covariance;
        private int updates;

        Rls(int outputs, int inputs) {
            theta = new SimpleMatrix(outputs, inputs);
            covariance = SimpleMatrix.identity(inputs).scale(TRACE / 10);
        }

        /** Folds one observation in; outputs that are no number keep their parameters. */
        void update(SimpleMatrix phi, double... y) {
            SimpleMatrix pPhi = covariance.mult(phi);
            SimpleMatrix gain = pPhi.divide(FORGET + phi.dot(pPhi));
            for (int i = 0; i < y.length; i++) {
                if (!Double.isNaN(y[i])) {
                    double error = y[i] - predict(phi).get(i);
                    for (int j = 0; j < theta.getNumCols(); j++) {
                        theta.set(i, j, theta.get(i, j) + gain.get(j) * error);
                    }
                }
            }
            covariance = covariance.minus(gain.mult(pPhi.transpose())).divide(FORGET);
            double bound = TRACE * theta.getNumCols();
            if (covariance.trace() > bound) { covariance = covariance.scale(bound / covariance.trace()); }
            updates++;
        }

        SimpleMatrix predict(SimpleMatrix phi) { return theta.mult(phi); }
    }

    /** u(k) = (B0'W'WB0 + Q'Q)^-1 (B0'W'W(yref - r) + Q'Q u(k-1)), with W and Q diagonal. */
    static SimpleMatrix controlLaw(SimpleMatrix b0, SimpleMatrix w, double q, SimpleMatrix yref,
                                   SimpleMatrix r, SimpleMatrix last) {
        SimpleMatrix bw = b0.transpose().mult(w.transpose()).mult(w);
        SimpleMatrix left = bw.mult(b0).plus(SimpleMatrix.identity(last.getNumRows()).scale(q * q));
        return left.solve(bw.mult(yref.minus(r)).plus(last.scale(q * q)));
    }

    /** Clips shares to their least and rescales them to sum 1. */
    static double[] rescale(double[] shares) {
        double[] kept = Arrays.stream(shares)
            .map(u -> Double.isFinite(u) ? Math.max(MIN_SHARE, Math.min(1, u)) : MIN_SHARE).toArray();
        double sum = Arrays.stream(kept).sum();
        return Arrays.stream(kept).map(u -> u / sum).toArray();
    }

    private static SimpleMatrix column(double... values) {
        return new SimpleMatrix(values.length, 1, true, values);
    }

    /** The share loop, the slower concurrency loop and the optimizer that feeds both. */
    private final class Control {
        private final int n = lanes.length;
        private final Rls shareModel = new Rls(2 * n, 3 * n), levelModel = new Rls(1, 2);
        private double[] lastY;
        private double lastInverse, lastLevel, lastChange, scale = 1, level = 1, limit = 1;
        private boolean bound;

        /** Until fitted, shares follow worth. */
        Control() {
            double sum = Math.max(1e-9, Arrays.stream(lanes).mapToDouble(lane -> lane.spec.worth()).sum());
            setShares(Arrays.stream(lanes).mapToDouble(lane -> lane.spec.worth() / sum).toArray());
        }

        private void setShares(double[] shares) {
            double[] kept = rescale(shares);
            for (int i = 0; i < n; i++) { lanes[i].share = kept[i]; }
        }

        private double[] shares() { return Arrays.stream(lanes).mapToDouble(lane -> lane.share).toArray(); }

        void boundLevel() {
            long ready = servers.values().stream().filter(b -> b.ready).count();
            double before = limit;
            limit = Math.max(2, Math.ceil(OPEN_PER_SERVER * ready / cfg.siblings()));
            level = levelModel.updates == 0 || level >= before ? limit : Math.min(level, limit);
        }

        void interval() {
            double total = Arrays.stream(lanes).mapToInt(lane -> lane.good).sum();
            scale += 0.2 * (Math.max(1, total) - scale);
            double[] y = new double[2 * n];
            double[] seen = new double[2 * n];
            for (int i = 0; i < n; i++) {
                Lane lane = lanes[i];
                // An idle class tells nothing: its rows keep their fit.
                boolean live = lane.good > 0;
                y[i] = lane.good / scale;
                double inverse = lane.spec.aim() * NANO * lane.good / Math.max(1e-6, lane.latencySum);
                y[n + i] = live ? Math.min(1, inverse / INVERSE_UNIT) : lastY == null ? 0 : lastY[n + i];
                seen[i] = live ? y[i] : Double.NaN;
                seen[n + i] = live ? y[n + i] : Double.NaN;
            }
            if (lastY != null && total > 0) { shareModel.update(regressor(lastY, shares()), seen); }
            lastY = y;
            if (shareModel.updates >= 3 * n) { steerShares(y, seen); }
            steerLevel();
            for (Lane lane : lanes) { lane.resetInterval(); }
        }

        private SimpleMatrix regressor(double[] y, double[] shares) {
            double[] phi = Arrays.copyOf(y, 3 * n);
            System.arraycopy(shares, 0, phi, 2 * n, n);
            return column(phi);
        }

        /** Worth a second of class i at what the model y = r + B0 s foresees, late answers at their part. */
        private double utility(SimpleMatrix r, SimpleMatrix b0, double[] s, int i, double grant) {
            double[] tried = s.clone();
            tried[i] += grant;
            SimpleMatrix x = r.plus(b0.mult(column(tried)));
            Lane lane = lanes[i];
            double served = Math.min(Math.max(0, x.get(i)) * scale, lane.arrivals);
            double late = lane.spec.lateValue();
            double timely = late + (1 - late) * (1 - Math.exp(-INVERSE_UNIT * Math.max(0, x.get(n + i))));
            return lane.spec.worth() * lane.price * served * timely;
        }

        /** The greedy optimizer of the paper's figure 4, for one gateway: the references. */
        private SimpleMatrix optimize(SimpleMatrix r, SimpleMatrix b0) {
            double[] s = new double[n], current = new double[n];
            Arrays.fill(current, Double.NEGATIVE_INFINITY);
            double step = Math.max(MIN_SHARE, 1 / Math.max(1, scale));
            for (double given = 0; given < 1 - 1e-9;) {
                int best = 0;
                double bestGain = Double.NEGATIVE_INFINITY, bestGrant = step;
                for (int i = 0; i < n; i++) {
                    double grant = step;
                    while (utility(r, b0, s, i, grant) <= current[i] && given + grant <= 1) { grant += step; }
                    grant = given + grant > 1 ? step : grant;
                    double gain = (utility(r, b0, s, i, grant) - Math.max(0, current[i])) / grant;
                    if (gain > bestGain) {
                        best = i;
                        bestGain = gain;
                        bestGrant = grant;
                    }
                }
                s[best] += bestGrant;
                given += bestGrant;
                current[best] = utility(r, b0, s, best, 0);
            }
            return r.plus(b0.mult(column(rescale(s))));
        }

        private void steerShares(double[] y, double[] seen) {
            double[] u = shares();
            SimpleMatrix b0 = shareModel.theta.cols(2 * n, 3 * n).copy();
            SimpleMatrix r = shareModel.predict(regressor(y, new double[n]));
            SimpleMatrix w = new SimpleMatrix(2 * n, 2 * n);
            double most = Arrays.stream(lanes).mapToDouble(l -> l.spec.worth() * l.price).max().orElse(1);
            for (int i = 0; i < 2 * n; i++) {
                if (b0.get(i, i % n) <= 0) {
                    // Noise, or never varied: until the fit has the known sign, in proportion to the share.
                    for (int j = 0; j < n; j++) { b0.set(i, j, j == i % n ? y[i] / u[j] : 0); }
                    r.set(i, 0, 0);
                }
                Lane lane = lanes[i % n];
                double weight = Math.sqrt(lane.spec.worth() * lane.price / Math.max(1e-9, most));
                w.set(i, i, Double.isNaN(seen[i]) ? 0 : weight);
            }
            setShares(controlLaw(b0, w, Q_SHARE, optimize(r, b0), r, column(u)).getDDRM().getData());
        }

        /** Sets concurrency so that slow answers of the tightest class come within its aim less its wait. */
        private void steerLevel() {
            Lane tight = Arrays.stream(lanes).filter(lane -> !lane.services.isEmpty())
                .min(Comparator.comparingLong(lane -> lane.spec.aim())).orElse(null);
            if (tight == null) { return; }
            double[] sorted = tight.services.stream().mapToDouble(x -> x).sorted().toArray();
            double aim = tight.spec.aim() * NANO;
            double inverse = aim / sorted[(int) (0.9 * (sorted.length - 1))];
            double u = level / limit;
            if (lastInverse > 0 && bound && u != lastLevel) {
                levelModel.update(column(lastChange, u - lastLevel), inverse - lastInverse);
            }
            lastChange = lastInverse > 0 ? inverse - lastInverse : 0;
            lastLevel = u;
            double wait = tight.good == 0 ? 0 : tight.waitSum / tight.good;
            // Fitted on changes: an unvaried level tells nothing. Until the fit has the known sign, Little's
            // law gives the slope: latency in proportion to what is out.
            double fit = levelModel.theta.cols(1, 2).get(0);
            SimpleMatrix b0 = column(levelModel.updates >= 3 && fit < 0 ? fit : -inverse / u);
            SimpleMatrix yref = column(aim / Math.max(aim / 4, aim - wait));
            SimpleMatrix r = column(inverse - b0.get(0) * u), last = column(u);
            // A level that did not bind tells nothing; it drifts back to the operator's limit.
            u = bound ? controlLaw(b0, column(1), Q_LEVEL, yref, r, last).get(0) : (u + 1) / 2;
            lastInverse = inverse;
            bound = false;
            u = Double.isFinite(u) ? Math.max(MIN_LEVEL, Math.min(1, u)) : 1;
            level = Math.max(2, Math.rint(u * limit));
        }
    }

    // ---- server choice and health -----------------------------------------------------------------------

    private double fleetLatency = 1;

    /** What this gateway knows of a server. */
    private final class Backend {
        private final String id;
        private Server entry;
        private boolean ready;
        private final LinkedHashSet<Job> outstanding = new LinkedHashSet<>();
        private double latency = 1, errors;
        private long heard = now, ejectedUntil, ejectSpan = EJECT_FIRST;
        private boolean probation;
        private double coldBudget;
        private long coldAt = now;

        Backend(String id) { this.id = id; }

        boolean cold() { return entry.startedAt() > 0 && now - entry.startedAt() < cfg.rules().coldSpan(); }

        double warmth() {
            double age = Math.max(0, now - entry.startedAt()) / (double) Math.max(1, cfg.rules().coldSpan());
            return cfg.rules().coldFrom() + (1 - cfg.rules().coldFrom()) * Math.min(1, age);
        }

        double weight() { return cfg.sizesTell() && entry.size() > 0 ? entry.size() : 1; }

        double foreseen() {
            double idle = (now - heard) * NANO;
            double l = fleetLatency + (latency - fleetLatency) * Math.exp(-idle / FORGIVE_S);
            if (!outstanding.isEmpty()) {
                // An answer overdue tells of trouble before it ends.
                Job oldest = outstanding.iterator().next();
                l = Math.max(l, (now - oldest.sentAt) * NANO / oldest.cost() / 2);
            }
            return l;
        }

        boolean groupedWith(Backend other, Group group) {
            Server a = entry, b = other.entry;
            return group == Group.ZONE ? a.zone() == b.zone() : a.cell() == b.cell();
        }

        double score() {
            double s = foreseen() * (1 + outstanding.size() / weight()) / (1 - Math.min(0.9, errors));
            return entry.zone() == cfg.zone() ? s : s * 1.05;
        }

        void ended(Job job, Result result) {
            outstanding.remove(job);
            double took = result.took() * NANO;
            Outcome o = result.outcome();
            if (o == Outcome.CANCELLED || o == Outcome.NOT_SENT) { return; }
            heard = now;
            boolean good = o == Outcome.OK;
            // A fast failure must not look fast.
            double ratio = Math.min(20, (good ? took : Math.max(took, 3 * job.lane.service)) / job.cost());
            latency += ALPHA * (ratio - latency);
            fleetLatency += ALPHA / Math.max(1, servers.size()) * (ratio - fleetLatency);
            double bad = good ? 0 : o == Outcome.FULL ? 0.5 : 1;
            errors += ALPHA_ERR * (bad - errors);
            if (probation && good) {
                probation = false;
                errors = Math.min(errors, EJECT_ERRORS / 2);
                ejectSpan = Math.max(EJECT_FIRST, ejectSpan / 2);
                out.log("server back: " + id);
            } else if (!good && (o == Outcome.CONNECT_FAILED || probation || outlier())) {
                eject(o);
            }
        }

        /** When all do badly none is an outlier, and never are so many ejected that the rest drown. */
        boolean outlier() {
            int usable = 0;
            int ejected = 0;
            double sum = 0;
            for (Backend b : servers.values()) {
                if (b.ready) {
                    usable++;
                    sum += b.errors;
                    ejected += b.ejectedUntil > now ? 1 : 0;
                }
            }
            double others = usable > 1 ? (sum - errors) / (usable - 1) : 1;
            return errors > EJECT_ERRORS && errors > 2 * others && ejected + 1 <= EJECT_SHARE * usable;
        }

        void eject(Outcome why) {
            if (ejectedUntil <= now) {
                ejectedUntil = now + ejectSpan;
                ejectSpan = Math.min(EJECT_MOST, 2 * ejectSpan);
                if (!probation) { out.log("server ejected: " + id + " after " + why); }
            }
            probation = true;
        }
    }

    /** The server that should answer soonest of those the request may go to; null if none may be used now. */
    private Backend choose(Job job) {
        RequestClass spec = job.lane.spec;
        boolean bound = job.mayHaveRunSince > 0 && spec.repeat() == Repeat.KEYED && spec.group() != Group.ALL;
        Backend best = null;
        Backend fallback = null;
        double bestScore = Double.MAX_VALUE;
        double fallbackScore = Double.MAX_VALUE;
        double perWarm = warmRate();
        for (Backend b : servers.values()) {
            boolean grouped = !bound || b.groupedWith(job.anchor, spec.group());
            if (!b.ready || !grouped || b.cold() && !coldRoom(b, job, perWarm)) { continue; }
            double score = b == job.lastBackend ? 4 * b.score() : b.score();
            // Back by trickle: one at a time, and only what can be repeated.
            boolean trickle = b.probation && b.ejectedUntil <= now && b.outstanding.isEmpty()
                && spec.repeat() == Repeat.SAFE && job.attempts == 0;
            if (!b.probation || trickle) {
                score = trickle ? score / 2 : score;
                if (score < bestScore) {
                    best = b;
                    bestScore = score;
                }
            } else if (score < fallbackScore) {
                fallback = b;
                fallbackScore = score;
            }
        }
        return best != null ? best : fallback;
    }

    private double sentWork;

    /** Work a second that this gateway sends to a warm server on average. */
    private double warmRate() {
        return sentWork / Math.max(1, servers.values().stream().filter(b -> b.ready && !b.cold()).count());
    }

    /** A cold server gets the part of a warm one's work that it can surely do, and never a burst. */
    private boolean coldRoom(Backend b, Job job, double perWarm) {
        double rate = Math.max(perWarm, 0.05) * b.warmth();
        b.coldBudget = Math.min(job.cost(), b.coldBudget + rate * (now - b.coldAt) * NANO);
        b.coldAt = now;
        return b.coldBudget >= job.cost() * 0.999;
    }

    // ---- attempts and final answers ---------------------------------------------------------------------

    private long sentWorkAt;

    private void send(Job job, Backend backend) {
        sentWork *= Math.exp(-(now - sentWorkAt) * NANO / 4);
        sentWork += job.cost() / 4;
        sentWorkAt = now;
        if (backend.cold()) { backend.coldBudget -= job.cost(); }
        if (job.attempts == 0) { retryTokens = Math.min(RETRY_MOST, retryTokens + RETRY_RATIO); }
        job.attempts++;
        job.backend = backend;
        job.lastBackend = backend;
        job.sentAt = now;
        backend.outstanding.add(job);
        inFlight++;
        if (inFlight >= control.level) { control.bound = true; }
        out.send(job.request.id(), backend.id, patience(job));
    }

    /** How long to wait: shorter than the client where another attempt may still be in time. */
    private long patience(Job job) {
        RequestClass spec = job.lane.spec;
        long left = job.request.deadline() - now;
        long useful = job.aimAt() - now;
        if (spec.repeat() != Repeat.UNSAFE && job.attempts < cfg.limits().maxAttempts() && retryTokens >= 1) {
            long usual = (long) (PATIENCE * job.cost() * Math.max(1, fleetLatency) * SECOND);
            long hedge = Math.max(usual, spec.aim() / 3);
            if (hedge < useful - (long) (job.lane.service * SECOND)) { return hedge; }
        }
        return spec.lateValue() <= 0 ? Math.max(MS, Math.min(left, useful)) : left;
    }

    /** After an attempt that did not end the request: another one, or the final answer. */
    private void again(Job job) {
        RequestClass spec = job.lane.spec;
        boolean ran = job.mayHaveRunSince > 0;
        boolean mayRepeat = !ran || spec.repeat() == Repeat.SAFE
            || spec.repeat() == Repeat.KEYED && now - job.mayHaveRunSince + TICK < spec.keyWindow();
        if (!mayRepeat || job.attempts >= cfg.limits().maxAttempts() || retryTokens < 1
            || now + (long) (job.lane.service * SECOND / 2) >= job.aimAt()) {
            giveUp(job);
            return;
        }
        Backend backend = choose(job);
        if (backend == null) {
            giveUp(job);
            return;
        }
        retryTokens--;
        send(job, backend);
    }

    /** The one final answer of a request that is not served: refused if that is true, else failed. */
    private void giveUp(Job job) {
        if (job.refusable()) {
            out.refuse(job.request.id(), 0);
        } else {
            out.fail(job.request.id());
        }
        forget(job);
    }

    /** The end of a request here; what it took is given back if it was never sent. */
    private void forget(Job job) {
        jobs.remove(job.request.id());
        if (job.attempts == 0) {
            job.customer.ceiling += job.request.units();
            if (job.inQuota) { job.customer.use(-job.request.units()); }
        }
        if (job.open) {
            job.open = false;
            job.customer.freed();
        }
    }
}
