package thistlefall;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.ejml.simple.SimpleMatrix;
import thistlefall.Ports.Actions;
import thistlefall.Ports.ConnectionProof;
import thistlefall.Ports.Group;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Plan;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Reason;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.Request;
import thistlefall.Ports.RequestClass;
import thistlefall.Ports.Result;
import thistlefall.Ports.SendConditions;
import thistlefall.Ports.Server;
import thistlefall.Ports.Settings;
import thistlefall.attempt.SendDeadlines;
import thistlefall.customer.CustomerTable;
import thistlefall.customer.RememberedCustomer;
import thistlefall.lease.CeilingLease;
import thistlefall.lease.LeaseParameters;
import thistlefall.lease.LeaseWaitQueue;
import thistlefall.lease.LeaseWaiter;
import thistlefall.quota.CounterCallBudget;
import thistlefall.quota.QuotaEstimate;
import thistlefall.quota.WindowedTotals;

/**
 * The decision module of one gateway. It decides on quotas, queueing, servers, attempts and final responses;
 * {@link Ports} defines the settings it gets, the events its host calls and the actions it calls on its host.
 *
 * <p>A request comes in through {@link #request}. Its {@code CustomerState} admits or refuses it by the customer's
 * quota and ceiling, if necessary after a call to the shared counter, which ends in {@link #counterCallEnded}. An
 * admitted request is a {@code PendingRequest} in the {@code ClassQueue} of its class. {@code dispatch} releases
 * requests by C-SFQ(D) fair queueing (start tags, finish tags and a virtual time) while fewer than the concurrency
 * level are in flight; {@code chooseServer} picks the server with the best {@code ServerState}. {@link #attemptEnded}
 * finishes the request or decides between a retry and a final response. Each second the {@code AdaptiveController} sets
 * the shares of the classes and the concurrency level, with models that {@code RecursiveLeastSquares} fits.
 *
 * <p>The mechanism is that of the Proteus paper, "Non-intrusive Performance Management for Computer Services" (see
 * docs/design.md); a comment at each deviation from the paper gives its reason. Times are nanoseconds unless a name or
 * a comment says seconds. One thread at a time may call an instance.
 */
public final class Gateway implements Ports.Events {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final double SECONDS_PER_NANO = 1e-9;
    /**
     * Interval of the timer that ends expired requests, reports use and serves requests that wait for leases: short
     * compared with the aims of the classes, long enough to cost little CPU time.
     */
    private static final long TIMER_INTERVAL = 10 * MILLISECOND;
    /** Interval at which new use is reported to the counter while a quota runs low. */
    private static final long REPORT_INTERVAL = SECOND / 4;
    /** The counter is considered unresponsive if no call has returned a total for this long. */
    private static final long COUNTER_SILENT_AFTER = SECOND / 2;
    /** The operator's limit on concurrency: requests in flight per ready server, over all gateways. */
    private static final double MAX_IN_FLIGHT_PER_SERVER = 6;
    /** Forgetting factor of the estimator, which remembers some 50 intervals. */
    private static final double FORGETTING_FACTOR = 0.98;
    /** Bound on the trace of the estimator's covariance, per input; reached when inputs hardly vary. */
    private static final double MAX_TRACE_PER_INPUT = 100;
    /** Inverse latency (aim / latency) is divided by this, so that it lies between 0 and 1 like the shares. */
    private static final double INVERSE_LATENCY_UNIT = 10;
    /** Actuation penalty Q of the share loop. */
    private static final double SHARE_PENALTY = 0.3;
    /** Actuation penalty Q of the concurrency loop, which is the slower loop. */
    private static final double LEVEL_PENALTY = 0.7;
    /** Lower bound of a class's share, so that no class starves. */
    private static final double MIN_SHARE = 0.02;
    /** Lower bound of the concurrency level, both absolute and relative to its limit, so that no class starves. */
    private static final double MIN_LEVEL = 0.25;
    /** Weight of a new response in a class's average service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.02;
    /** Weight of a new response in a server's average latency. */
    private static final double LATENCY_WEIGHT = 0.12;
    /** Weight of a new response in a server's error rate. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Time constant, in seconds, by which a server's averages decay to those of its kind and its zone. */
    private static final double AVERAGE_DECAY_SECONDS = 4;
    /**
     * Candidate servers per request if there are as many gateways as servers. The number grows in proportion to the
     * servers per gateway and is never below two.
     */
    private static final int CANDIDATES_PER_REQUEST = 3;
    /** Retry tokens that each first attempt earns. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.2;
    /** Upper bound of the retry tokens saved up. */
    private static final double MAX_RETRY_TOKENS = 20;
    /** Time that a first attempt must have left, as a multiple of its expected service time. */
    private static final double FIRST_ATTEMPT_MARGIN = 1.5;

    /** Names of the values in a load report that show how busy a server is. */
    private static final Set<String> LOAD_VALUE_NAMES = Set.of("waiting", "active", "cpu");
    /** Time constant, in seconds, by which a load report loses its effect. */
    private static final int LOAD_REPORT_DECAY_SECONDS = 1;
    /** Number of servers last heard from that are remembered as candidates. */
    private static final int RECENT_SERVER_COUNT = 6;
    /**
     * Customers and servers without activity for this long are forgotten, provided that they have no requests in
     * flight and the customer's quota and ceiling are full again.
     */
    private static final long FORGET_AFTER = 120 * SECOND;
    /** Customers remembered at most; each takes up to one kilobyte. */
    private static final int MAX_CUSTOMERS = 16_384;

    private final Settings settings;
    private final Actions host;
    private final SplittableRandom random;
    private final long gatewayStartedAt;
    /** Time of the event that is being handled. */
    private long now;

    private long nextControlAt;
    private long lastCounterResponseAt;
    private long sentWorkUpdatedAt;
    private long sendPausedUntil;
    private long serversSweptAt;
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private final CustomerTable<CustomerState> customers = new CustomerTable<>(MAX_CUSTOMERS, FORGET_AFTER);
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    private List<ServerState> readyServers = List.of();
    /** Average quotient of measured and expected service time, by kind of server. */
    private final Map<Integer, Double> latencyRatioByKind = new HashMap<>();

    private final Map<Integer, ZoneErrorRate> errorRateByZone = new HashMap<>();
    private final ServerState[] recentServers = new ServerState[RECENT_SERVER_COUNT];
    private final ClassQueue[] classQueues;
    private final AdaptiveController controller;
    private int inFlight;
    private int nextRecentIndex;
    private double retryTokens = MAX_RETRY_TOKENS;
    /** Start tag of the request released last. */
    private double virtualTime;
    /** Moving average of the work sent: seconds of expected service time per second. */
    private double sentWorkRate;

    private double averageCallPriority;
    private double averageLoad;
    private boolean counterSilent;
    private final CounterCallBudget counterCallBudget;
    /** For each plan, the units taken from quotas, reduced by 1 % at each taking. */
    private final double[] takenUnits;
    /** For each plan, the units taken recently that were reported to the counter. */
    private final double[] reportedUnits;
    /** Customers with use that is not yet reported to the counter. */
    private final Set<CustomerState> customersToReport = new LinkedHashSet<>();
    /** Customers with requests that wait for a lease, or with an unfinished lease operation. */
    private final Set<CustomerState> customersWithLeaseWork = new LinkedHashSet<>();
    /** Calls in flight by counter name, each queue in the order of sending. */
    private final Map<Long, ArrayDeque<CounterCall>> counterCalls = new LinkedHashMap<>();

    /** Creates a gateway that starts at {@code now}; {@code seed} is its only source of randomness. */
    public Gateway(Settings gatewaySettings, long seed, long now, Actions hostActions) {
        settings = gatewaySettings;
        host = hostActions;
        random = new SplittableRandom(seed);
        gatewayStartedAt = now;
        this.now = now;
        classQueues = new ClassQueue[settings.classes().size()];
        for (int i = 0; i < classQueues.length; i++) {
            classQueues[i] = new ClassQueue(settings.classes().get(i));
        }
        takenUnits = new double[settings.plans().size()];
        reportedUnits = new double[takenUnits.length];
        controller = new AdaptiveController();
        lastCounterResponseAt = now;
        counterCallBudget = new CounterCallBudget(
                settings.gatewayCount(), settings.counter().timeout(), random.nextDouble(), now);
        nextControlAt = now + SECOND;
        host.scheduleTimer(0, TIMER_INTERVAL);
        if (settings.limits().mustSubscribeToList()) {
            host.subscribeToServerList();
        }
    }

    /** Returns how many customers and servers are held in memory. */
    int rememberedCount() {
        return customers.size() + servers.size();
    }

    @Override
    public void serverListUpdated(long eventTime, ListKind kind, List<Server> entries) {
        now = eventTime;
        if (kind == ListKind.FAILED) {
            host.subscribeToServerList();
        } else if (kind != ListKind.DELTA) {
            List<String> listedIds = entries.stream().map(Server::id).toList();
            servers.values().stream()
                    .filter(server -> !listedIds.contains(server.id))
                    .forEach(server -> server.ready = false);
        }
        List<ServerState> unusableServers = new ArrayList<>();
        for (Server entry : entries) {
            ServerState existing = servers.get(entry.id());
            boolean isNew = existing == null || existing.entry.startedAt() != entry.startedAt();
            if (existing != null) {
                existing.ready = false;
            }
            ServerState server = isNew ? new ServerState(entry) : existing;
            servers.put(entry.id(), server);
            boolean moved = server.entry.zone() != entry.zone() || server.entry.cell() != entry.cell();
            server.entry = entry;
            server.ready = entry.readiness() == Readiness.READY;
            if (existing != null && (isNew || moved)) {
                unusableServers.add(existing);
            }
        }
        servers.values().stream().filter(server -> !server.ready).forEach(unusableServers::add);
        unusableServers.forEach(ServerState::withdrawUnsentAttempts);
        readyServers = servers.values().stream().filter(server -> server.ready).toList();
        if (now - serversSweptAt > FORGET_AFTER) {
            // If the fleet is replaced every hour, its old servers must not stay in memory for months.
            serversSweptAt = now;
            servers.values().removeIf(ServerState::canBeForgotten);
        }
        controller.updateLevelLimit();
        dispatch();
    }

    @Override
    public void request(long eventTime, Request request) {
        now = eventTime;
        boolean classAndPlanKnown = request.requestClass() >= 0
                && request.requestClass() < classQueues.length
                && request.plan() >= 0
                && request.plan() < settings.plans().size();
        if (!classAndPlanKnown) {
            host.refuse(request.id(), 0, Reason.UNKNOWN);
        }
        if (!classAndPlanKnown || pendingRequests.containsKey(request.id())) {
            return;
        }
        CustomerState customer = customers.find(request.customer());
        if (customer == null && !customers.makeRoom(now)) {
            host.refuse(request.id(), 0, Reason.CUSTOMERS);
            return;
        }
        if (customer == null) {
            customer = new CustomerState(request.customer(), request);
            customers.add(customer);
        }
        ClassQueue classQueue = classQueues[request.requestClass()];
        classQueue.arrivals++;
        PendingRequest pendingRequest = new PendingRequest(request, customer, classQueue);
        pendingRequests.put(request.id(), pendingRequest);
        classQueue.measureIfRefusedByServiceTime(pendingRequest);
        if (pendingRequest.cannotMeetAim()) {
            // Some requests arrive with so little time left that the next check of the queue would be too late.
            refuseOrFail(pendingRequest, Reason.TIME);
        } else {
            customer.admit(pendingRequest);
        }
        dispatch();
    }

    private void enqueue(PendingRequest pendingRequest) {
        pendingRequest.classQueue.requests.add(pendingRequest);
        shedExcess(pendingRequest.classQueue);
        probeIfResponsesAreRare(pendingRequest);
    }

    @Override
    public void attemptEnded(long eventTime, Result result) {
        now = eventTime;
        PendingRequest pendingRequest = pendingRequests.get(result.id());
        if (pendingRequest == null || pendingRequest.server == null) {
            return;
        }
        ServerState server = pendingRequest.server;
        pendingRequest.server = null;
        inFlight--;
        // A concurrency level below one is kept by a pause after each attempt, because hundreds of gateways with one
        // request in flight each may overload a small fleet.
        sendPausedUntil = now + (long) (result.duration() * Math.max(0, 1 / controller.concurrencyLevel - 1));
        server.recordAttempt(pendingRequest, result);
        pendingRequest.classQueue.recordAttempt(pendingRequest, result);
        boolean hasTrueUnits = settings.counter().reportsTrueUnits() && result.trueUnits() > 0;
        if (hasTrueUnits && result.outcome() == Outcome.OK && pendingRequest.inQuota) {
            pendingRequest.customer.takeUnits(result.trueUnits() - pendingRequest.request.units());
        }
        if (!result.outcome().provesNeverRan() && pendingRequest.possibleRunSentAt == 0) {
            pendingRequest.possibleRunSentAt = pendingRequest.sentAt;
            pendingRequest.possibleRunServer = pendingRequest.sentTo;
        }
        if (result.responseComplete() || pendingRequest.abandoned) {
            finishRequest(pendingRequest);
        } else {
            retryOrGiveUp(pendingRequest, result.outcome().provesNeverRan());
        }
        dispatch();
    }

    @Override
    public void streamStarted(long eventTime, String id) {
        now = eventTime;
    }

    @Override
    public void clientGone(long eventTime, String id) {
        now = eventTime;
        PendingRequest pendingRequest = pendingRequests.get(id);
        if (pendingRequest == null) {
            return;
        }
        pendingRequest.abandoned = true;
        if (pendingRequest.server == null && !pendingRequest.awaitingCounter) {
            pendingRequest.classQueue.requests.remove(pendingRequest);
            finishRequest(pendingRequest);
        }
    }

    @Override
    public void counterCallEnded(long eventTime, long counterName, Outcome outcome, double total) {
        now = eventTime;
        ArrayDeque<CounterCall> pendingCalls = counterCalls.get(counterName);
        CounterCall call = pendingCalls == null ? null : pendingCalls.poll();
        if (call == null) {
            return;
        }
        if (pendingCalls.isEmpty()) {
            counterCalls.remove(counterName);
        }
        boolean hasTotal = outcome == Outcome.OK;
        counterCallBudget.callEnded(now, now - call.sentAt, hasTotal);
        lastCounterResponseAt = hasTotal ? now : lastCounterResponseAt;
        if (counterSilent != now - lastCounterResponseAt > COUNTER_SILENT_AFTER) {
            counterSilent = !counterSilent;
            host.log(counterSilent ? "counter silent: quotas divided over gateways" : "counter answers again");
        }
        call.customer.counterCallEnded(call, outcome, total);
        dispatch();
    }

    @Override
    public void probeEnded(long eventTime, String serverId, Outcome outcome, long took, List<Double> report) {
        now = eventTime;
        ServerState server = servers.get(serverId);
        if (server == null) {
            return;
        }
        // A server that reports no load or does not respond must not be treated as idle.
        double load = report.isEmpty() ? 1 + 2 * averageLoad : 0;
        for (int i = 0; i < Math.min(report.size(), settings.loadReportNames().size()); i++) {
            load += LOAD_VALUE_NAMES.contains(settings.loadReportNames().get(i)) ? report.get(i) : 0;
        }
        averageLoad += 0.05 * (load - averageLoad);
        server.reportedLoad = load;
        server.loadReportedAt = now;
        recentServers[nextRecentIndex++ % RECENT_SERVER_COUNT] = server;
    }

    /**
     * Probes a random ready server for each request while this gateway sends fewer requests per second than there are
     * ready servers.
     */
    private void probeIfResponsesAreRare(PendingRequest pendingRequest) {
        boolean responsesAreRare = sentWorkRate < pendingRequest.expectedServiceTime() * readyServers.size();
        if (responsesAreRare
                && settings.limits().probesAllowed()
                && !settings.loadReportNames().isEmpty()) {
            host.probe(readyServers.get(random.nextInt(readyServers.size())).id);
        }
    }

    @Override
    public void timerExpired(long eventTime, long token) {
        now = eventTime;
        host.scheduleTimer(0, TIMER_INTERVAL);
        for (ClassQueue classQueue : classQueues) {
            refuseExpired(classQueue.requests);
        }
        // A call that has not ended after two timeouts counts as lost: the requests that wait for it are decided
        // without a total, so that they get their response even if the host never ends the call.
        long lostBefore = now - 2 * settings.counter().timeout();
        counterCalls.values().stream()
                .flatMap(ArrayDeque::stream)
                .filter(call -> call.sentAt < lostBefore)
                .toList()
                .forEach(call -> call.customer.decideWaiting(call, false));
        List.copyOf(customersToReport).forEach(CustomerState::reportUse);
        List.copyOf(customersWithLeaseWork).forEach(CustomerState::serveLeaseWaiters);
        if (now >= nextControlAt) {
            nextControlAt += SECOND;
            controller.endInterval();
        }
        dispatch();
    }

    /**
     * A counter call in flight. For a lease call, {@code waitingRequests} is null and {@code windowOrSerial} is the
     * serial number; for a quota call, it is the index of the window.
     */
    private record CounterCall(
            CustomerState customer,
            long windowOrSerial,
            double amount,
            List<PendingRequest> waitingRequests,
            long sentAt) {}

    /** What this gateway knows of one customer: its use, the estimate of its quota, and its ceiling. */
    private final class CustomerState implements RememberedCustomer {
        private final long key;
        /** Duration of a window of the customer's counter totals. */
        private final long windowLength;

        private final Plan plan;
        private final int gatewaySetSize;
        private final int planIndex;
        private final boolean quotaShared;
        private long nextReportAt;
        private long lastUsedAt;
        private double unreportedUnits;
        /** The totals at the shared counter: what this gateway reported and what others did. */
        private final WindowedTotals totals;
        /** The estimate of the units left in the quota. */
        private final QuotaEstimate estimate;
        /** What this gateway may spend under the ceiling; null if the plan has none. */
        private final CeilingLease lease;
        /** Requests that wait for a lease of ceiling units. */
        private final LeaseWaitQueue leaseWaiters = new LeaseWaitQueue();
        /** The newest call in flight that reports use; null if there is none. */
        private CounterCall newestQuotaCall;
        /** Requests that were sent at least once and are not finished. */
        private int startedRequests;
        /** All requests that are not finished. */
        private int unfinishedRequests;

        CustomerState(long key, Request firstRequest) {
            this.key = key;
            planIndex = firstRequest.plan();
            plan = settings.plans().get(planIndex);
            gatewaySetSize = Math.max(1, Math.min(firstRequest.gatewaySetSize(), settings.gatewayCount()));
            quotaShared = gatewaySetSize > 1 && settings.counter().present();
            // A window lasts as long as the quota takes to fill from zero to its burst, but at least 1 and at most 30
            // seconds. A customer that sends at a steady rate uses about one burst per window, so a gateway without
            // earlier data on the customer can estimate the quota from the current total alone. Windows of different
            // customers start at different times.
            double secondsToFill = plan.rate() > 0 ? plan.burst() / plan.rate() : 1;
            windowLength = (long) (Math.min(30, Math.max(1, secondsToFill)) * SECOND);
            totals = new WindowedTotals(key, windowLength);
            double largestRequest = settings.counter().largestRequestUnits();
            estimate = new QuotaEstimate(
                    plan.rate(), plan.burst(), gatewaySetSize, largestRequest, windowLength, gatewayStartedAt, now);
            estimate.assumeFullAt(now, customers.quotaFullAt(key));
            // A restarted gateway cannot know what it spent under the ceiling before, so it starts with no units.
            lease = plan.ceilingRate() <= 0
                    ? null
                    : new CeilingLease(
                            LeaseParameters.of(
                                    plan.ceilingRate(),
                                    plan.ceilingBurst(),
                                    gatewaySetSize,
                                    quotaShared && settings.counter().supportsLeases()),
                            key,
                            gatewayStartedAt);
            if (lease != null) {
                lease.assumeFullAt(customers.ceilingFullAt(key));
            }
            // Reports to the counter are spread over time: sent all at once they would find its queue full.
            nextReportAt = now + random.nextLong(REPORT_INTERVAL);
        }

        @Override
        public long key() {
            return key;
        }

        @Override
        public boolean isInUse() {
            return unfinishedRequests > 0
                    || newestQuotaCall != null
                    || customersWithLeaseWork.contains(this)
                    || lease != null && lease.hasUnfinishedOperation();
        }

        @Override
        public boolean hasUnreportedUse() {
            return customersToReport.contains(this);
        }

        @Override
        public long lastUsedAt() {
            return Math.max(lastUsedAt, estimate.lastUpdate());
        }

        @Override
        public long quotaFullAt(long time) {
            estimate.refill(time);
            return estimate.fullAt(time);
        }

        @Override
        public long ceilingFullAt(long time) {
            return lease == null ? time : lease.fullAt(time);
        }

        @Override
        public void forgotten() {
            customersToReport.remove(this);
        }

        /**
         * Takes the units and decides by the estimate; if the estimate is outdated, and the time left and the call
         * budget allow a counter call, reports the units first and decides by the total.
         */
        void admit(PendingRequest pendingRequest) {
            estimate.refill(now);
            double units = pendingRequest.request.units();
            // The ceiling holds whatever other gateways do: each spends only its own part and the units leased to it.
            pendingRequest.ceilingGrant = lease == null ? null : lease.grant(now, units);
            if (pendingRequest.lacksCeilingUnits() && !lease.leasingEnabled()) {
                refuse(pendingRequest, lease.timeUntilAvailable(now, units) * SECONDS_PER_NANO, Reason.CEILING);
                return;
            }
            takeUnits(units);
            pendingRequest.inQuota = true;
            pendingRequest.setWaitingQuotaUnits(plan.rate() > 0 ? units : 0);
            boolean quotaBinding = plan.rate() > 0 && plan.overQuotaEarnings() <= plan.overQuotaCost();
            // If the quota is exceeded only because of the predicted use of the other gateways, the gateway requests a
            // total instead of refusing.
            double expectedOthersUse = estimate.expectedOthersUse(REPORT_INTERVAL);
            boolean estimateOutdated = estimate.dependsOnPrediction(now, expectedOthersUse)
                    || now - estimate.lastUpdate() > windowLength / 4;
            estimateOutdated &= quotaBinding && quotaShared && !counterSilent;
            // While counter calls are scarce, requests that would cost the most worth beyond the quota have priority,
            // and so have customers whose requests are spread over many gateways, because this gateway sees the
            // smallest part of their traffic. A repeated request has 0.3 of the priority, because it usually follows a
            // refusal.
            double callPriority = pendingRequest.classQueue.requestClass.worth()
                    * plan.price()
                    * plan.overQuotaCost()
                    * units
                    * gatewaySetSize
                    / settings.gatewayCount()
                    * (pendingRequest.request.markedAsRepeat() ? 0.3 : 1);
            averageCallPriority += 0.02 * (callPriority - averageCallPriority);
            callPriority /= Math.max(1e-9, averageCallPriority);
            boolean enoughTime = now + 2 * settings.counter().timeout() < pendingRequest.aimDeadline();
            if (estimateOutdated && enoughTime && newestQuotaCall != null && newestQuotaCall.sentAt == now) {
                pendingRequest.awaitingCounter = newestQuotaCall.waitingRequests.add(pendingRequest);
            } else if (estimateOutdated
                    && enoughTime
                    && counterCallBudget.tryAcquire(now, callPriority, counterSilent)) {
                callCounter();
                pendingRequest.awaitingCounter = newestQuotaCall.waitingRequests.add(pendingRequest);
            } else {
                if (gatewaySetSize > 1 && now - estimate.lastUpdate() > windowLength) {
                    estimate.divideAmongGateways();
                }
                boolean refuseRepeat = estimate.isIsolated()
                        && pendingRequest.request.markedAsRepeat()
                        && plan.burst() / gatewaySetSize < units;
                decideByEstimate(pendingRequest, refuseRepeat ? Double.MAX_VALUE : expectedOthersUse);
            }
        }

        /**
         * Decides on a request whose units have already been taken from the estimate: it is within the quota if the
         * estimate is still at least {@code minimumUnits}, and otherwise gets its units back.
         */
        private void decideByEstimate(PendingRequest pendingRequest, double minimumUnits) {
            double units = pendingRequest.request.units();
            pendingRequest.inQuota = plan.rate() <= 0 || estimate.units() >= minimumUnits;
            if (!pendingRequest.inQuota) {
                pendingRequest.setWaitingQuotaUnits(0);
                takeUnits(-units);
            }
            if (pendingRequest.inQuota || plan.overQuotaEarnings() > plan.overQuotaCost()) {
                if (pendingRequest.lacksCeilingUnits()) {
                    awaitCeilingUnits(pendingRequest);
                } else {
                    enqueue(pendingRequest);
                }
            } else {
                boolean estimateFresh = gatewaySetSize == 1 || now - estimate.lastUpdate() <= REPORT_INTERVAL;
                Reason reason = estimateFresh ? Reason.QUOTA : Reason.QUOTA_ESTIMATED;
                refuse(
                        pendingRequest,
                        (units - estimate.units()) / plan.rate(),
                        estimate.isIsolated() ? Reason.QUOTA_PART : reason);
            }
        }

        private void awaitCeilingUnits(PendingRequest pendingRequest) {
            pendingRequest.awaitingCounter = true;
            leaseWaiters.add(pendingRequest);
            serveLeaseWaiters();
        }

        /** Gets units again for a request that has waited beyond the end of the lease that its units came from. */
        void renewCeilingGrant(PendingRequest pendingRequest) {
            lease.refund(now, pendingRequest.ceilingGrant);
            pendingRequest.ceilingGrant = null;
            awaitCeilingUnits(pendingRequest);
        }

        /** Ends the wait of requests that can be decided on, and starts a lease call if one is needed. */
        private void serveLeaseWaiters() {
            CeilingLease.LeaseCall leaseCall =
                    leaseWaiters.serve(now, lease, () -> counterCallBudget.tryAcquire(now, 2, counterSilent));
            if (leaseCall != null) {
                counterCalls
                        .computeIfAbsent(leaseCall.account(), n -> new ArrayDeque<>())
                        .add(new CounterCall(this, leaseCall.serial(), 0, null, now));
                host.addToCounter(leaseCall.account(), leaseCall.amount(), leaseCall.lifetime());
            }
            boolean leasingDone = leaseWaiters.isEmpty() && !lease.hasUnfinishedOperation();
            if (leasingDone) {
                customersWithLeaseWork.remove(this);
            } else {
                customersWithLeaseWork.add(this);
            }
        }

        private void refuse(PendingRequest pendingRequest, double retryAfterSeconds, Reason reason) {
            double maxRetryAfter =
                    settings.limits().retryAfterAllowed() ? settings.limits().maxRetryAfter() : 0;
            host.refuse(
                    pendingRequest.request.id(),
                    (long) Math.max(0, Math.min(maxRetryAfter, retryAfterSeconds * SECOND)),
                    reason);
            finishRequest(pendingRequest);
        }

        /** Takes units from the quota; a negative amount gives units back. */
        void takeUnits(double units) {
            if (plan.rate() > 0) {
                takenUnits[planIndex] = 0.99 * takenUnits[planIndex] + Math.max(0, units);
                reportedUnits[planIndex] *= 0.99;
                unreportedUnits += units;
                estimate.spend(units);
                lastUsedAt = now;
                customersToReport.add(this);
            }
        }

        /** Reports recent use with one counter call, more often while the quota runs low. */
        void reportUse() {
            boolean hasRecentUse = Math.abs(unreportedUnits) > 1e-6 && now - lastUsedAt < windowLength && quotaShared;
            if (!hasRecentUse) {
                unreportedUnits = 0;
                customersToReport.remove(this);
            } else if (now >= nextReportAt && counterCallBudget.tryAcquire(now, 0.25, counterSilent)) {
                callCounter();
            }
        }

        /** Reports all unreported units in the current window. */
        private void callCounter() {
            // If less than half the burst is left and use beyond the quota costs at least what it earns, the final
            // total of the previous window is requested too, to make the estimate more accurate.
            boolean nearQuota = estimate.units() < plan.burst() / 2 && plan.overQuotaEarnings() <= plan.overQuotaCost();
            if (totals.advance(now)) {
                estimate.windowEnded(now, totals.windowStart());
                if (nearQuota && counterCallBudget.tryAcquire(now, 0.25, counterSilent)) {
                    sendCounterCall(totals.previousWindow(), 0);
                }
            }
            double amount = Math.rint(unreportedUnits * 1e6) * 1e-6;
            reportedUnits[planIndex] += amount;
            nextReportAt = now + (estimate.units() < plan.burst() / 2 ? REPORT_INTERVAL : SECOND);
            unreportedUnits = 0;
            newestQuotaCall = sendCounterCall(totals.currentWindow(), amount);
        }

        private CounterCall sendCounterCall(long window, double amount) {
            CounterCall call = new CounterCall(this, window, amount, new ArrayList<>(0), now);
            counterCalls
                    .computeIfAbsent(totals.counterName(window), n -> new ArrayDeque<>())
                    .add(call);
            host.addToCounter(totals.counterName(window), amount, 2 * windowLength);
            return call;
        }

        void counterCallEnded(CounterCall call, Outcome outcome, double total) {
            if (call.waitingRequests == null) {
                lease.callEnded(now, call.windowOrSerial, outcome == Outcome.OK, total);
                serveLeaseWaiters();
                return;
            }
            if (outcome.provesNeverRan()) {
                unreportedUnits += call.amount;
                reportedUnits[planIndex] -= call.amount;
                customersToReport.add(this);
            } else {
                // Without a response it is unknown whether the amount was added. It is recorded as reported; if it was
                // not added, the next total is handled like one after a loss of data at the counter.
                totals.recordReported(call.windowOrSerial, call.amount);
            }
            estimate.refill(now);
            if (outcome == Outcome.OK && totals.isRetained(call.windowOrSerial)) {
                updateEstimate(call, total);
            }
            decideWaiting(call, outcome == Outcome.OK);
        }

        /** Decides on the requests that waited for a call; {@code hasTotal} if the call returned one. */
        private void decideWaiting(CounterCall call, boolean hasTotal) {
            if (call.waitingRequests == null) {
                return;
            }
            newestQuotaCall = newestQuotaCall == call ? null : newestQuotaCall;
            for (PendingRequest pendingRequest : call.waitingRequests) {
                pendingRequest.awaitingCounter = false;
                if (pendingRequest.abandoned) {
                    finishRequest(pendingRequest);
                } else {
                    decideByEstimate(pendingRequest, hasTotal ? 0 : estimate.expectedOthersUse(REPORT_INTERVAL));
                }
            }
            call.waitingRequests.clear();
        }

        /** Corrects the estimate by the total that a call returned. */
        private void updateEstimate(CounterCall call, double total) {
            double othersUse = totals.newOthersUse(call.windowOrSerial, total, call.amount, plan.burst() / 2);
            // While calls are scarce only a fraction of the use is reported. Other gateways are assumed to report the
            // same fraction as this one.
            double smoothing = 2 * settings.counter().largestRequestUnits();
            double reportedFraction =
                    (Math.max(0, reportedUnits[planIndex]) + smoothing) / (takenUnits[planIndex] + smoothing);
            reportedFraction = counterCallBudget.recentlyDenied(now) ? Math.min(1, Math.max(0.1, reportedFraction)) : 1;
            if (call.windowOrSerial == totals.currentWindow()) {
                estimate.update(
                        now, othersUse, reportedFraction, totals.windowStart(), totals.ownReported() + unreportedUnits);
            } else {
                estimate.correctLastWindow(othersUse / reportedFraction);
            }
        }
    }

    /** A request from its arrival until it is finished, with the state of its attempts. */
    private final class PendingRequest implements LeaseWaiter {
        private final Request request;
        private final CustomerState customer;
        private final ClassQueue classQueue;
        private final long arrivedAt = now;
        private final double virtualTimeAtArrival = virtualTime;
        /** Units that it has taken from the quota and that wait with it to be sent. */
        private double waitingQuotaUnits;
        /** Whether it waits for a counter total or for a lease. */
        private boolean awaitingCounter;

        private boolean inQuota;
        private boolean countedAsStarted;
        /** Whether the client is gone. */
        private boolean abandoned;
        /** What it may take from the ceiling when it is sent; null before it has got that, and without a ceiling. */
        private CeilingLease.Grant ceilingGrant;

        /** Whether its first attempt measures the service time, so that the class's estimate does not refuse it. */
        private boolean measuresServiceTime;

        private int attemptCount;
        private ServerState server;
        private long sentAt;
        /** The list entry of its server when the attempt was decided on; the server may be listed otherwise later. */
        private Server sentTo;
        /** When the first attempt that may have run was sent; 0 if there is none. */
        private long possibleRunSentAt;
        /** The server of that attempt. */
        private Server possibleRunServer;

        PendingRequest(Request request, CustomerState customer, ClassQueue classQueue) {
            this.request = request;
            this.customer = customer;
            this.classQueue = classQueue;
            customer.unfinishedRequests++;
        }

        /**
         * Returns the worth of serving this request; beyond the quota it is multiplied by
         * {@code overQuotaEarnings - overQuotaCost}, which may be negative.
         */
        double worth() {
            double planFactor = inQuota ? 1 : customer.plan.overQuotaEarnings() - customer.plan.overQuotaCost();
            return classQueue.requestClass.worth() * customer.plan.price() * planFactor;
        }

        @Override
        public double units() {
            return request.units();
        }

        @Override
        public long waitDeadline() {
            return abandoned || cannotMeetAim() ? now : aimDeadline() - 2 * TIMER_INTERVAL;
        }

        boolean lacksCeilingUnits() {
            return customer.lease != null && ceilingGrant == null;
        }

        /** Whether some of its units were leased and the lease has ended while it waited. */
        boolean hasExpiredCeilingUnits() {
            return attemptCount == 0 && ceilingGrant != null && now >= ceilingGrant.validUntil();
        }

        /** Sets how many units of the quota wait with it: all that it took until it is sent, then none. */
        void setWaitingQuotaUnits(double units) {
            customer.estimate.changeWaiting(units - waitingQuotaUnits);
            waitingQuotaUnits = units;
        }

        @Override
        public void waitEnded(CeilingLease.Grant grant, long wait) {
            ceilingGrant = grant;
            awaitingCounter = false;
            if (abandoned) {
                finishRequest(this);
            } else if (ceilingGrant != null) {
                enqueue(this);
            } else {
                customer.refuse(this, wait * SECONDS_PER_NANO, Reason.CEILING);
            }
        }

        /**
         * Returns the latest time at which a response has its full worth: the class's aim after the arrival, or the
         * client's deadline if that is earlier.
         */
        long aimDeadline() {
            return Math.min(arrivedAt + classQueue.requestClass.aim(), request.deadline());
        }

        /**
         * Returns whether an earlier attempt may have run and a key keeps a further one from running again until
         * {@link #keyWindowEnd}.
         */
        boolean isKeyedRepeat() {
            return possibleRunSentAt > 0 && classQueue.requestClass.repeat() == Repeat.KEYED;
        }

        /** Returns when a repeat with its key may run again, less one timer interval. */
        long keyWindowEnd() {
            long windowEnd = SendDeadlines.keyWindowEnd(possibleRunSentAt, classQueue.requestClass.keyWindow());
            return windowEnd - TIMER_INTERVAL;
        }

        /** Returns when an attempt is given up: at the aim if a late response is worth nothing, else the deadline. */
        long giveUpTime() {
            return classQueue.requestClass.lateValue() <= 0 ? aimDeadline() : request.deadline();
        }

        /**
         * Whether the plan's limit on requests in flight allows it. The number of requests in flight at other gateways
         * is unknown, so the limit is divided equally among the gateways, and each may have at least one.
         */
        boolean mayBeSent() {
            int maxInFlight = customer.plan.maxInFlight();
            return maxInFlight <= 0 || customer.startedRequests < Math.max(1, maxInFlight / customer.gatewaySetSize);
        }

        /**
         * Returns whether too little time is left to respond within the aim: at most two timer intervals plus the
         * host's time granularity or, before the first attempt, at most 1.5 expected service times.
         */
        boolean cannotMeetAim() {
            return lacksTime(attemptCount == 0 && !measuresServiceTime ? firstAttemptTime() : 0);
        }

        /** Returns whether only the class's average service time keeps it from being sent. */
        boolean isRefusedByServiceTime() {
            return lacksTime(firstAttemptTime()) && !lacksTime(0);
        }

        private long firstAttemptTime() {
            return (long) (FIRST_ATTEMPT_MARGIN * expectedServiceTime() * SECOND);
        }

        private boolean lacksTime(long timeNeeded) {
            return now + Math.max(timeNeeded, 2 * TIMER_INTERVAL + settings.timeGranularity()) >= aimDeadline();
        }

        /** The expected service time in seconds: the class's average, scaled by the request's units. */
        double expectedServiceTime() {
            return classQueue.serviceTime
                    * Math.max(0.3, Math.min(3, request.units() / Math.max(1e-9, classQueue.averageUnits)));
        }
    }

    /** A performance class: its queued requests, share and finish tag, and measurements of the current interval. */
    private final class ClassQueue {
        private final RequestClass requestClass;
        private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
        private double share;
        private double finishTag;
        /** Average service time in seconds. */
        private double serviceTime;

        private long serviceTimeUpdatedAt = now;
        /** When a request was last sent to measure the service time. */
        private long measuredAt = now;
        /** When the average service time last refused a request. */
        private long refusedByServiceTimeAt = now - SECOND;

        private double averageUnits = 1;
        /** Average product of price and units. */
        private double averagePrice = 1;

        private double latencySum;
        private double waitSum;
        private int arrivals;
        private int servedCount;
        /** Service times of this interval in seconds, failures included. */
        private final List<Double> serviceTimes = new ArrayList<>();

        ClassQueue(RequestClass requestClass) {
            this.requestClass = requestClass;
            serviceTime = requestClass.aim() * SECONDS_PER_NANO / 8;
        }

        /** Start tag of the first sendable request; computed at release, so a new share affects queued requests too. */
        double startTag() {
            return Math.max(firstSendable().virtualTimeAtArrival, finishTag);
        }

        /** The first request that its plan's limit allows to be sent; null if there is none. */
        PendingRequest firstSendable() {
            for (PendingRequest pendingRequest : requests) {
                if (pendingRequest.mayBeSent()) {
                    return pendingRequest;
                }
            }
            return null;
        }

        void recordAttempt(PendingRequest pendingRequest, Result result) {
            double tookSeconds = result.duration() * SECONDS_PER_NANO;
            if (result.outcome() == Outcome.OK) {
                servedCount++;
                updateServiceTime(tookSeconds);
                averageUnits += 0.02 * (pendingRequest.request.units() - averageUnits);
                averagePrice +=
                        0.02 * (pendingRequest.customer.plan.price() * pendingRequest.request.units() - averagePrice);
                latencySum += (now - pendingRequest.arrivedAt) * SECONDS_PER_NANO;
                waitSum += (pendingRequest.sentAt - pendingRequest.arrivedAt) * SECONDS_PER_NANO;
                serviceTimes.add(tookSeconds);
            } else if (result.outcome() != Outcome.CANCELLED && result.outcome() != Outcome.NOT_SENT) {
                // A failure counts as slow, never as fast: errors must not make the concurrency loop raise the level.
                serviceTimes.add(Math.max(tookSeconds, 2 * requestClass.aim() * SECONDS_PER_NANO));
            }
        }

        private void updateServiceTime(double tookSeconds) {
            double weight = SERVICE_TIME_WEIGHT;
            if (now - refusedByServiceTimeAt < SECOND) {
                // Responses are rare now, so each counts for more, as for a server's average latency. An average above
                // the aim refuses no more than one that equals it, and would only take longer to fall.
                serviceTime = Math.min(serviceTime, requestClass.aim() * SECONDS_PER_NANO);
                double secondsSinceUpdate = (now - serviceTimeUpdatedAt) * SECONDS_PER_NANO;
                weight = Math.max(LATENCY_WEIGHT, 1 - Math.exp(-secondsSinceUpdate / AVERAGE_DECAY_SECONDS));
            }
            serviceTime += weight * (tookSeconds - serviceTime);
            serviceTimeUpdatedAt = now;
        }

        /**
         * If the class's average service time refuses even requests of average size, and with it this one, lets it
         * measure the service time instead, provided that the average has not been updated or measured for a control
         * interval. The average follows from attempts only, so that without this a class whose servers were slow for a
         * while would be refused for good.
         */
        void measureIfRefusedByServiceTime(PendingRequest pendingRequest) {
            boolean averageSizeRefused = FIRST_ATTEMPT_MARGIN * serviceTime >= requestClass.aim() * SECONDS_PER_NANO;
            if (!averageSizeRefused || !pendingRequest.isRefusedByServiceTime()) {
                return;
            }
            refusedByServiceTimeAt = now;
            if (now - Math.max(serviceTimeUpdatedAt, measuredAt) >= SECOND) {
                pendingRequest.measuresServiceTime = true;
                measuredAt = now;
            }
        }
    }

    /**
     * Refuses or fails all queued requests that can no longer meet their aim; checks the whole queue, because a request
     * with a short deadline may be queued behind one with a long deadline.
     */
    private void refuseExpired(ArrayDeque<PendingRequest> requests) {
        if (requests.isEmpty()) {
            return;
        }
        for (PendingRequest pendingRequest :
                requests.stream().filter(PendingRequest::cannotMeetAim).toList()) {
            requests.remove(pendingRequest);
            refuseOrFail(pendingRequest, Reason.QUEUE);
        }
    }

    /**
     * While the concurrency level is reached and the queue's expected wait by Little's law exceeds the class's aim less
     * two service times (at least a quarter of the aim), refuses or fails the queued request of least worth.
     */
    private void shedExcess(ClassQueue classQueue) {
        if (inFlight < controller.concurrencyLevel) {
            return;
        }
        double backloggedShare = Arrays.stream(classQueues)
                .mapToDouble(each -> each.requests.isEmpty() ? 0 : each.share)
                .sum();
        double serviceRate = controller.concurrencyLevel
                / classQueue.serviceTime
                * classQueue.share
                / Math.max(MIN_SHARE, backloggedShare);
        double waitBudget = Math.max(
                classQueue.requestClass.aim() * SECONDS_PER_NANO - 2 * classQueue.serviceTime,
                classQueue.requestClass.aim() * SECONDS_PER_NANO / 4);
        while (inFlight >= controller.concurrencyLevel
                && classQueue.requests.size() > 1
                && classQueue.requests.size() / serviceRate > waitBudget) {
            PendingRequest leastWorth = classQueue.requests.peek();
            for (PendingRequest pendingRequest : classQueue.requests) {
                leastWorth = pendingRequest.worth() <= leastWorth.worth() ? pendingRequest : leastWorth;
            }
            classQueue.requests.remove(leastWorth);
            refuseOrFail(leastWorth, Reason.QUEUE);
        }
    }

    /** Releases requests by start tag while fewer than the concurrency level are in flight. */
    private void dispatch() {
        while (inFlight < controller.concurrencyLevel && now >= sendPausedUntil) {
            ClassQueue nextQueue = null;
            for (ClassQueue classQueue : classQueues) {
                boolean hasSendable = classQueue.firstSendable() != null;
                nextQueue = hasSendable && (nextQueue == null || classQueue.startTag() < nextQueue.startTag())
                        ? classQueue
                        : nextQueue;
            }
            if (nextQueue == null) {
                return;
            }
            PendingRequest pendingRequest = nextQueue.firstSendable();
            if (pendingRequest.cannotMeetAim()) {
                nextQueue.requests.remove(pendingRequest);
                refuseOrFail(pendingRequest, Reason.QUEUE);
                continue;
            }
            if (pendingRequest.hasExpiredCeilingUnits()) {
                nextQueue.requests.remove(pendingRequest);
                pendingRequest.customer.renewCeilingGrant(pendingRequest);
                continue;
            }
            ServerState server = chooseServer(pendingRequest);
            if (server == null) {
                return;
            }
            double startTag = nextQueue.startTag();
            nextQueue.requests.remove(pendingRequest);
            virtualTime = startTag;
            nextQueue.finishTag = startTag + 1 / nextQueue.share;
            startAttempt(pendingRequest, server);
        }
    }

    /**
     * Recursive least squares with forgetting for the model y = theta phi: {@code observed} is y, {@code parameters}
     * theta and {@code regressor} phi. All outputs share one covariance.
     */
    static final class RecursiveLeastSquares {
        private final SimpleMatrix parameters;
        private SimpleMatrix covariance;
        private int updateCount;

        RecursiveLeastSquares(int outputs, int inputs) {
            parameters = new SimpleMatrix(outputs, inputs);
            covariance = SimpleMatrix.identity(inputs).scale(MAX_TRACE_PER_INPUT / 10);
        }

        /** Updates the model by one observation; outputs that are NaN keep their parameters. */
        void update(SimpleMatrix regressor, double... observed) {
            SimpleMatrix covarianceTimesRegressor = covariance.mult(regressor);
            SimpleMatrix gain =
                    covarianceTimesRegressor.divide(FORGETTING_FACTOR + regressor.dot(covarianceTimesRegressor));
            for (int i = 0; i < observed.length; i++) {
                if (!Double.isNaN(observed[i])) {
                    double error = observed[i] - predict(regressor).get(i);
                    for (int j = 0; j < parameters.getNumCols(); j++) {
                        parameters.set(i, j, parameters.get(i, j) + gain.get(j) * error);
                    }
                }
            }
            covariance = covariance
                    .minus(gain.mult(covarianceTimesRegressor.transpose()))
                    .divide(FORGETTING_FACTOR);
            double traceBound = MAX_TRACE_PER_INPUT * parameters.getNumCols();
            if (covariance.trace() > traceBound) {
                covariance = covariance.scale(traceBound / covariance.trace());
            }
            updateCount++;
        }

        SimpleMatrix predict(SimpleMatrix regressor) {
            return parameters.mult(regressor);
        }
    }

    /**
     * The control law u(k) = (B0'W'WB0 + Q'Q)^-1 (B0'W'W(yref - r) + Q'Q u(k-1)), with W and Q diagonal.
     *
     * @param inputGain B0, the effect of the input u on the outputs
     * @param outputWeights W
     * @param actuationPenalty the value on the diagonal of Q
     * @param reference yref, the outputs aimed at
     * @param freeResponse r, the predicted outputs at input 0
     * @param lastInput u(k-1)
     */
    static SimpleMatrix controlLaw(
            SimpleMatrix inputGain,
            SimpleMatrix outputWeights,
            double actuationPenalty,
            SimpleMatrix reference,
            SimpleMatrix freeResponse,
            SimpleMatrix lastInput) {
        SimpleMatrix weightedGain =
                inputGain.transpose().mult(outputWeights.transpose()).mult(outputWeights);
        SimpleMatrix normalMatrix = weightedGain
                .mult(inputGain)
                .plus(SimpleMatrix.identity(lastInput.getNumRows()).scale(actuationPenalty * actuationPenalty));
        return normalMatrix.solve(weightedGain
                .mult(reference.minus(freeResponse))
                .plus(lastInput.scale(actuationPenalty * actuationPenalty)));
    }

    /** Clips each share to its lower bound and scales the shares to sum 1. */
    static double[] normalizeShares(double[] shares) {
        double[] clipped = Arrays.stream(shares)
                .map(share -> Double.isFinite(share) ? Math.max(MIN_SHARE, Math.min(1, share)) : MIN_SHARE)
                .toArray();
        double sum = Arrays.stream(clipped).sum();
        return Arrays.stream(clipped).map(share -> share / sum).toArray();
    }

    private static SimpleMatrix column(double... values) {
        return new SimpleMatrix(values.length, 1, true, values);
    }

    /**
     * Sets the shares of the classes and the concurrency level after each interval of one second: the share loop, whose
     * reference outputs an optimizer chooses, and the slower concurrency loop.
     */
    private final class AdaptiveController {
        private final int classCount = classQueues.length;
        private final RecursiveLeastSquares shareModel = new RecursiveLeastSquares(2 * classCount, 3 * classCount);
        private final RecursiveLeastSquares levelModel = new RecursiveLeastSquares(1, 2);
        /** Scaled served counts of all classes, then their scaled inverse latencies, in the last interval. */
        private double[] lastOutputs;

        private double lastInverseLatency;
        /** The concurrency level divided by its limit, in the last interval. */
        private double lastRelativeLevel;

        private double lastInverseLatencyChange;
        /** Average number of served requests per interval; served counts are divided by it. */
        private double servedScale = 1;

        private double concurrencyLevel = 1;
        private double levelLimit = 1;
        /** Whether the requests in flight reached the level in the current interval. */
        private boolean levelReached;

        /** Until the model is fitted, shares are proportional to worth. */
        AdaptiveController() {
            double sum = Math.max(
                    1e-9,
                    Arrays.stream(classQueues)
                            .mapToDouble(classQueue -> classQueue.requestClass.worth())
                            .sum());
            setShares(Arrays.stream(classQueues)
                    .mapToDouble(classQueue -> classQueue.requestClass.worth() / sum)
                    .toArray());
        }

        private void setShares(double[] shares) {
            double[] normalized = normalizeShares(shares);
            for (int i = 0; i < classCount; i++) {
                classQueues[i].share = normalized[i];
            }
        }

        private double[] shares() {
            return Arrays.stream(classQueues)
                    .mapToDouble(classQueue -> classQueue.share)
                    .toArray();
        }

        /** Derives the level's limit from the number of ready servers and keeps the level within it. */
        void updateLevelLimit() {
            double previousLimit = levelLimit;
            double limitPerGateway =
                    Math.max(MIN_LEVEL, MAX_IN_FLIGHT_PER_SERVER * readyServers.size() / settings.gatewayCount());
            levelLimit = limitPerGateway > 1 ? Math.rint(limitPerGateway) : limitPerGateway;
            concurrencyLevel = levelModel.updateCount == 0 || concurrencyLevel >= previousLimit
                    ? levelLimit
                    : Math.min(concurrencyLevel, levelLimit);
        }

        /** Fits the models on the interval that ends, sets the shares and the level, and resets the measurements. */
        void endInterval() {
            double servedTotal = Arrays.stream(classQueues)
                    .mapToInt(classQueue -> classQueue.servedCount)
                    .sum();
            servedScale += 0.2 * (Math.max(1, servedTotal) - servedScale);
            double[] outputs = new double[2 * classCount];
            double[] observed = new double[2 * classCount];
            for (int i = 0; i < classCount; i++) {
                ClassQueue classQueue = classQueues[i];
                boolean servedAny = classQueue.servedCount > 0;
                outputs[i] = classQueue.servedCount / servedScale;
                double inverseLatency = classQueue.requestClass.aim()
                        * SECONDS_PER_NANO
                        * classQueue.servedCount
                        / Math.max(1e-6, classQueue.latencySum);
                outputs[classCount + i] = servedAny
                        ? Math.min(1, inverseLatency / INVERSE_LATENCY_UNIT)
                        : lastOutputs == null ? 0 : lastOutputs[classCount + i];
                observed[i] = servedAny ? outputs[i] : Double.NaN;
                observed[classCount + i] = servedAny ? outputs[classCount + i] : Double.NaN;
            }
            if (lastOutputs != null && servedTotal > 0) {
                shareModel.update(shareRegressor(lastOutputs, shares()), observed);
            }
            lastOutputs = outputs;
            if (shareModel.updateCount >= 3 * classCount) {
                updateShares(outputs, observed);
            }
            updateLevel();
            for (ClassQueue classQueue : classQueues) {
                classQueue.arrivals = classQueue.servedCount = 0;
                classQueue.latencySum = classQueue.waitSum = 0;
                classQueue.serviceTimes.clear();
            }
        }

        private SimpleMatrix shareRegressor(double[] outputs, double[] shares) {
            double[] values = Arrays.copyOf(outputs, 3 * classCount);
            System.arraycopy(shares, 0, values, 2 * classCount, classCount);
            return column(values);
        }

        /**
         * Worth per second of one class at the outputs that the model y = r + B0 s predicts, where s is the shares with
         * the class's share raised by {@code shareIncrease}. Late responses count with their part of the worth.
         */
        private double utility(
                SimpleMatrix freeResponse,
                SimpleMatrix inputGain,
                double[] shares,
                int classIndex,
                double shareIncrease) {
            double[] triedShares = shares.clone();
            triedShares[classIndex] += shareIncrease;
            SimpleMatrix predicted = freeResponse.plus(inputGain.mult(column(triedShares)));
            ClassQueue classQueue = classQueues[classIndex];
            double served = Math.min(Math.max(0, predicted.get(classIndex)) * servedScale, classQueue.arrivals);
            double lateValue = classQueue.requestClass.lateValue();
            double timelyFraction = lateValue
                    + (1 - lateValue)
                            * (1
                                    - Math.exp(-INVERSE_LATENCY_UNIT
                                            * Math.max(0, predicted.get(classCount + classIndex))));
            return classQueue.requestClass.worth() * classQueue.averagePrice * served * timelyFraction;
        }

        /**
         * Returns the reference outputs of the share loop: raises the shares step by step, always that of the class
         * with the largest gain in utility per share (the greedy optimizer of the paper's figure 4, for one gateway).
         */
        private SimpleMatrix optimizeReferences(SimpleMatrix freeResponse, SimpleMatrix inputGain) {
            double[] shares = new double[classCount];
            double[] utilities = new double[classCount];
            Arrays.fill(utilities, Double.NEGATIVE_INFINITY);
            double step = Math.max(MIN_SHARE, 1 / Math.max(1, servedScale));
            for (double granted = 0; granted < 1 - 1e-9; ) {
                int best = 0;
                double bestGain = Double.NEGATIVE_INFINITY;
                double bestGrant = step;
                for (int i = 0; i < classCount; i++) {
                    double grant = step;
                    while (utility(freeResponse, inputGain, shares, i, grant) <= utilities[i] && granted + grant <= 1) {
                        grant += step;
                    }
                    grant = granted + grant > 1 ? step : grant;
                    double gain =
                            (utility(freeResponse, inputGain, shares, i, grant) - Math.max(0, utilities[i])) / grant;
                    if (gain > bestGain) {
                        best = i;
                        bestGain = gain;
                        bestGrant = grant;
                    }
                }
                shares[best] += bestGrant;
                granted += bestGrant;
                utilities[best] = utility(freeResponse, inputGain, shares, best, 0);
            }
            return freeResponse.plus(inputGain.mult(column(normalizeShares(shares))));
        }

        private void updateShares(double[] outputs, double[] observed) {
            double[] shares = shares();
            SimpleMatrix inputGain =
                    shareModel.parameters.cols(2 * classCount, 3 * classCount).copy();
            SimpleMatrix freeResponse = shareModel.predict(shareRegressor(outputs, new double[classCount]));
            SimpleMatrix outputWeights = new SimpleMatrix(2 * classCount, 2 * classCount);
            double largestWorth = Arrays.stream(classQueues)
                    .mapToDouble(classQueue -> classQueue.requestClass.worth() * classQueue.averagePrice)
                    .max()
                    .orElse(1);
            for (int i = 0; i < 2 * classCount; i++) {
                if (inputGain.get(i, i % classCount) <= 0) {
                    // The fit is noise, or the share never varied. Until the fitted gain is positive, as it must be,
                    // the output is assumed to be proportional to the share.
                    for (int j = 0; j < classCount; j++) {
                        inputGain.set(i, j, j == i % classCount ? outputs[i] / shares[j] : 0);
                    }
                    freeResponse.set(i, 0, 0);
                }
                ClassQueue classQueue = classQueues[i % classCount];
                double weight = Math.sqrt(
                        classQueue.requestClass.worth() * classQueue.averagePrice / Math.max(1e-9, largestWorth));
                outputWeights.set(i, i, Double.isNaN(observed[i]) ? 0 : weight);
            }
            setShares(controlLaw(
                            inputGain,
                            outputWeights,
                            SHARE_PENALTY,
                            optimizeReferences(freeResponse, inputGain),
                            freeResponse,
                            column(shares))
                    .getDDRM()
                    .getData());
        }

        /**
         * Sets the concurrency level so that the 90th percentile of the service times of the class with the shortest
         * aim comes within that aim less the class's average wait (at least a quarter of the aim).
         */
        private void updateLevel() {
            ClassQueue shortestAimClass = Arrays.stream(classQueues)
                    .filter(classQueue -> !classQueue.serviceTimes.isEmpty())
                    .min(Comparator.comparingLong(classQueue -> classQueue.requestClass.aim()))
                    .orElse(null);
            if (shortestAimClass == null) {
                return;
            }
            double[] sortedTimes = shortestAimClass.serviceTimes.stream()
                    .mapToDouble(time -> time)
                    .sorted()
                    .toArray();
            double aimSeconds = shortestAimClass.requestClass.aim() * SECONDS_PER_NANO;
            double inverseLatency = aimSeconds / sortedTimes[(int) (0.9 * (sortedTimes.length - 1))];
            double relativeLevel = concurrencyLevel / levelLimit;
            if (lastInverseLatency > 0 && levelReached && relativeLevel != lastRelativeLevel) {
                levelModel.update(
                        column(lastInverseLatencyChange, relativeLevel - lastRelativeLevel),
                        inverseLatency - lastInverseLatency);
            }
            lastInverseLatencyChange = lastInverseLatency > 0 ? inverseLatency - lastInverseLatency : 0;
            lastRelativeLevel = relativeLevel;
            double averageWait = shortestAimClass.waitSum / Math.max(1, shortestAimClass.servedCount);
            // The model is fitted to changes of the level, because a constant level carries no information about its
            // effect. Until the model has had three updates and its gain is negative, as it must be, the slope follows
            // from Little's law: latency is proportional to the requests in flight.
            double fittedGain = levelModel.parameters.cols(1, 2).get(0);
            SimpleMatrix inputGain = column(
                    levelModel.updateCount >= 3 && fittedGain < 0 ? fittedGain : -inverseLatency / relativeLevel);
            SimpleMatrix reference = column(aimSeconds / Math.max(aimSeconds / 4, aimSeconds - averageWait));
            SimpleMatrix freeResponse = column(inverseLatency - inputGain.get(0) * relativeLevel);
            SimpleMatrix lastInput = column(relativeLevel);
            // If the requests in flight did not reach the level, the interval shows nothing about its effect, and the
            // level moves half of the way to the operator's limit.
            relativeLevel = levelReached
                    ? controlLaw(inputGain, column(1), LEVEL_PENALTY, reference, freeResponse, lastInput)
                            .get(0)
                    : (relativeLevel + 1) / 2;
            lastInverseLatency = inverseLatency;
            levelReached = false;
            relativeLevel = Double.isFinite(relativeLevel) ? Math.max(MIN_LEVEL, Math.min(1, relativeLevel)) : 1;
            concurrencyLevel =
                    relativeLevel * levelLimit > 1 ? Math.rint(relativeLevel * levelLimit) : relativeLevel * levelLimit;
        }
    }

    /**
     * The average error rate of a zone's servers. It follows from attempts only. A gateway that ranks all servers may
     * make none while another zone looks better, so there the average decays without any for a control interval. Where
     * servers are drawn at random, attempts in the zone go on.
     */
    private final class ZoneErrorRate {
        private double average;
        private long lastHeardAt = now;

        double current() {
            if (!ranksAllServers()) {
                return average;
            }
            double silentSeconds = Math.max(0, now - lastHeardAt - SECOND) * SECONDS_PER_NANO;
            return average * Math.exp(-silentSeconds / AVERAGE_DECAY_SECONDS);
        }

        void add(double observedError, double weight) {
            average = current();
            average += weight * (observedError - average);
            lastHeardAt = now;
        }
    }

    /** What this gateway knows of one server: its list entry, its attempts in flight, and its averages. */
    private final class ServerState {
        private final String id;
        private Server entry;
        private boolean ready;
        /** Whether the error rate exceeds one half; it only decides what is logged. */
        private boolean errorRateHigh;

        private final LinkedHashSet<PendingRequest> outstanding = new LinkedHashSet<>();
        /** Average quotient of measured and expected service time. */
        private double latencyRatio;

        private double errorRate;
        private double reportedLoad;
        private long lastHeardAt = now;
        private long lastColdCheckAt = now;
        private long loadReportedAt = gatewayStartedAt;

        ServerState(Server entry) {
            id = entry.id();
            this.entry = entry;
            latencyRatio = latencyRatioByKind.getOrDefault(entry.kind(), 1.0);
            errorRate = usualErrorRate();
        }

        boolean isCold() {
            return entry.startedAt() > 0
                    && now - entry.startedAt() < settings.rules().coldStartDuration();
        }

        boolean canBeForgotten() {
            return !ready && outstanding.isEmpty() && now - Math.max(lastHeardAt, lastColdCheckAt) > FORGET_AFTER;
        }

        /** The fraction of its full capacity that a server has during its warm-up. */
        double capacityFraction() {
            double age = Math.max(0, now - entry.startedAt())
                    / (double) Math.max(1, settings.rules().coldStartDuration());
            return settings.rules().coldCapacityFraction()
                    + (1 - settings.rules().coldCapacityFraction()) * Math.min(1, age);
        }

        /**
         * Returns an average moved towards the usual value of the server's kind or zone, the further the longer nothing
         * was heard from the server.
         */
        private double decayTowards(double average, double usual) {
            return usual
                    + (average - usual) * Math.exp(-(now - lastHeardAt) * SECONDS_PER_NANO / AVERAGE_DECAY_SECONDS);
        }

        private double usualErrorRate() {
            ZoneErrorRate zoneErrorRate = errorRateByZone.get(entry.zone());
            return zoneErrorRate == null ? 0 : zoneErrorRate.current();
        }

        double currentErrorRate() {
            return decayTowards(errorRate, usualErrorRate());
        }

        boolean failsOften() {
            return currentErrorRate() > 0.5;
        }

        boolean inGroupOf(PendingRequest pendingRequest) {
            Server originalEntry = pendingRequest.possibleRunServer;
            return pendingRequest.classQueue.requestClass.group() == Group.ZONE
                    ? entry.zone() == originalEntry.zone()
                    : entry.cell() == originalEntry.cell();
        }

        /** Has the host take back the attempts of which no byte was sent yet; they are sent to other servers. */
        void withdrawUnsentAttempts() {
            List.copyOf(outstanding).forEach(pendingRequest -> host.withdraw(pendingRequest.request.id()));
        }

        /**
         * Returns the expected response time relative to the usual one, adjusted by the reported load and increased for
         * attempts outstanding here, for errors and, by 5 %, for another zone; the lowest score is the best.
         */
        double score() {
            double expectedLatency = decayTowards(latencyRatio, latencyRatioByKind.getOrDefault(entry.kind(), 1.0));
            if (!outstanding.isEmpty()) {
                // An attempt that has lasted more than twice the expected latency raises the score before it ends.
                PendingRequest oldest = outstanding.iterator().next();
                expectedLatency = Math.max(
                        expectedLatency, (now - oldest.sentAt) * SECONDS_PER_NANO / oldest.expectedServiceTime() / 2);
            }
            double successRate = 1 - Math.min(0.97, currentErrorRate());
            double relativeSize = settings.serverSizesMeaningful() && entry.size() > 0 ? entry.size() : 1;
            expectedLatency *= 1
                    + (reportedLoad - averageLoad)
                            / (1 + averageLoad)
                            * Math.exp(-(now - loadReportedAt) * SECONDS_PER_NANO / LOAD_REPORT_DECAY_SECONDS);
            // The other gateways see the same as this one, so each is assumed to have as many attempts outstanding at
            // this server, and the number is multiplied by the number of gateways.
            double score = expectedLatency
                    * (1 + settings.gatewayCount() * outstanding.size() / relativeSize)
                    / (successRate * successRate);
            return entry.zone() == settings.zone() ? score : score * 1.05;
        }

        void recordAttempt(PendingRequest pendingRequest, Result result) {
            outstanding.remove(pendingRequest);
            Outcome outcome = result.outcome();
            if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
                return;
            }
            boolean succeeded = outcome == Outcome.OK;
            // A failure that comes quickly must not make the server look fast.
            double observedRatio =
                    Math.min(20, result.duration() * SECONDS_PER_NANO / pendingRequest.expectedServiceTime());
            observedRatio = succeeded ? observedRatio : Math.max(3, observedRatio);
            double observedError = succeeded ? 0 : outcome == Outcome.FULL ? 0.5 : 1;
            // With many gateways each gets few responses from a single server, so it also averages the latency over
            // servers of the same kind and the error rate over those of the same zone.
            double fleetWeight = 2 * LATENCY_WEIGHT / Math.max(1, readyServers.size());
            latencyRatioByKind.merge(
                    entry.kind(), observedRatio, (average, latest) -> average + fleetWeight * (latest - average));
            errorRateByZone
                    .computeIfAbsent(entry.zone(), zone -> new ZoneErrorRate())
                    .add(observedError, fleetWeight);
            latencyRatio = decayTowards(latencyRatio, latencyRatioByKind.get(entry.kind()));
            errorRate = currentErrorRate();
            lastHeardAt = now;
            if (succeeded) {
                recentServers[nextRecentIndex++ % RECENT_SERVER_COUNT] = this;
            }
            latencyRatio += LATENCY_WEIGHT * (observedRatio - latencyRatio);
            errorRate += (outcome == Outcome.CONNECT_FAILED ? 1 : succeeded ? ERROR_WEIGHT : 2 * ERROR_WEIGHT)
                    * (observedError - errorRate);
            if (errorRateHigh != errorRate > 0.5) {
                errorRateHigh = !errorRateHigh;
                host.log((errorRateHigh ? "server shunned: " : "server back: ") + id + " after " + outcome);
            }
        }
    }

    /**
     * Returns the ready servers of the group that drops repeats of the request if {@code groupOnly} is set; otherwise a
     * random sample of the ready servers and the ready ones that responded or were probed last, or all ready servers if
     * there are no more than the sample. If all gateways ranked the same servers, a few would get all requests.
     */
    private List<ServerState> candidates(PendingRequest pendingRequest, boolean groupOnly) {
        if (groupOnly) {
            return readyServers.stream()
                    .filter(server -> server.inGroupOf(pendingRequest))
                    .toList();
        }
        if (ranksAllServers()) {
            return readyServers;
        }
        Stream<ServerState> randomServers = random.ints(0, readyServers.size())
                .distinct()
                .limit(maxCandidates())
                .mapToObj(readyServers::get);
        return Stream.concat(
                        randomServers, Arrays.stream(recentServers).filter(server -> server != null && server.ready))
                .toList();
    }

    private int maxCandidates() {
        return Math.max(2, CANDIDATES_PER_REQUEST * readyServers.size() / settings.gatewayCount());
    }

    private boolean ranksAllServers() {
        return maxCandidates() >= readyServers.size();
    }

    /** The candidate that should respond soonest; null if none may be used now. */
    private ServerState chooseServer(PendingRequest pendingRequest) {
        RequestClass requestClass = pendingRequest.classQueue.requestClass;
        boolean groupOnly = pendingRequest.isKeyedRepeat() && requestClass.group() != Group.ALL;
        ServerState bestServer = null;
        double bestScore = Double.MAX_VALUE;
        for (ServerState candidate : candidates(pendingRequest, groupOnly)) {
            // A random factor of up to 1.1 keeps gateways with equal scores from all choosing the first server of the
            // list.
            double score = candidate.score() * (1 + 0.1 * random.nextDouble());
            if (score < bestScore && (!candidate.isCold() || mayUseColdServer(candidate, pendingRequest))) {
                bestServer = candidate;
                bestScore = score;
            }
        }
        return bestServer;
    }

    /**
     * Decides at random whether a cold server may get the request, so that it gets {@code capacityFraction} of a warm
     * server's work without bursts, whatever the number of gateways.
     */
    private boolean mayUseColdServer(ServerState server, PendingRequest pendingRequest) {
        double warmServers = Math.max(
                1, readyServers.stream().filter(other -> !other.isCold()).count());
        double allowedWork = sentWorkRate
                / warmServers
                * server.capacityFraction()
                * (now - server.lastColdCheckAt)
                * SECONDS_PER_NANO;
        server.lastColdCheckAt = now;
        return random.nextDouble() * pendingRequest.expectedServiceTime() < allowedWork;
    }

    private void startAttempt(PendingRequest pendingRequest, ServerState server) {
        sentWorkRate = sentWorkRate * Math.exp(-(now - sentWorkUpdatedAt) * SECONDS_PER_NANO / 4)
                + pendingRequest.expectedServiceTime() / 4;
        sentWorkUpdatedAt = now;
        if (pendingRequest.attemptCount == 0) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
            endWaitOfUnits(pendingRequest);
        }
        pendingRequest.customer.startedRequests += pendingRequest.countedAsStarted ? 0 : 1;
        pendingRequest.countedAsStarted = true;
        pendingRequest.attemptCount++;
        pendingRequest.server = server;
        pendingRequest.sentAt = now;
        pendingRequest.sentTo = server.entry;
        server.outstanding.add(pendingRequest);
        inFlight++;
        if (inFlight >= controller.concurrencyLevel) {
            controller.levelReached = true;
        }
        long timeout = Math.max(MILLISECOND, pendingRequest.giveUpTime() - now);
        host.send(pendingRequest.request.id(), server.id, timeout, sendConditions(pendingRequest, server));
    }

    /** With the first attempt a request's units count as used, and others can accrue in their place. */
    private void endWaitOfUnits(PendingRequest pendingRequest) {
        pendingRequest.setWaitingQuotaUnits(0);
        if (pendingRequest.ceilingGrant != null) {
            pendingRequest.customer.lease.sent(now, pendingRequest.ceilingGrant);
        }
    }

    /** Returns under which conditions this attempt may be sent: what has allowed it may end while it waits. */
    private SendConditions sendConditions(PendingRequest pendingRequest, ServerState server) {
        long latestStart = Long.MAX_VALUE;
        long latestSend = pendingRequest.giveUpTime();
        if (pendingRequest.isKeyedRepeat()) {
            latestStart = pendingRequest.keyWindowEnd();
            latestSend = Math.min(latestSend, SendDeadlines.forRepeatWithinKeyWindow(now, latestStart));
        }
        if (server.isCold()) {
            latestSend = Math.min(latestSend, SendDeadlines.forColdServer(now, settings.rules()));
        }
        return new SendConditions(latestSend, latestStart, requiredProof(pendingRequest, server));
    }

    /**
     * What a server takes late must not be a repeat whose key it has forgotten. A server with many failures may be one
     * that takes nothing for now: a request that must not run twice is better refused or sent elsewhere than left with
     * it.
     */
    private static ConnectionProof requiredProof(PendingRequest pendingRequest, ServerState server) {
        if (pendingRequest.isKeyedRepeat()) {
            return ConnectionProof.RESPONDS_NOW;
        }
        boolean safe = pendingRequest.classQueue.requestClass.repeat() == Repeat.SAFE;
        return !safe && server.failsOften() ? ConnectionProof.HAS_RESPONDED : ConnectionProof.NONE;
    }

    /** Starts another attempt after one that did not finish the request, or gives the final response. */
    private void retryOrGiveUp(PendingRequest pendingRequest, boolean neverRan) {
        RequestClass requestClass = pendingRequest.classQueue.requestClass;
        boolean repeatAllowed = pendingRequest.possibleRunSentAt == 0
                || requestClass.repeat() == Repeat.SAFE
                || requestClass.repeat() == Repeat.KEYED && now < pendingRequest.keyWindowEnd();
        boolean enoughTime =
                now + (long) (pendingRequest.classQueue.serviceTime * SECOND / 2) < pendingRequest.aimDeadline();
        double tokenCost = neverRan ? 0 : 1;
        boolean mayRetry = repeatAllowed && enoughTime && retryTokens >= tokenCost;
        ServerState server =
                mayRetry && pendingRequest.attemptCount < settings.limits().maxAttempts()
                        ? chooseServer(pendingRequest)
                        : null;
        if (server == null) {
            refuseOrFail(pendingRequest, Reason.SERVERS);
        } else {
            retryTokens -= tokenCost;
            startAttempt(pendingRequest, server);
        }
    }

    /** Gives the one final response of a request that is not served: refused if a repeat is harmless, else failed. */
    private void refuseOrFail(PendingRequest pendingRequest, Reason reason) {
        RequestClass requestClass = pendingRequest.classQueue.requestClass;
        if (pendingRequest.possibleRunSentAt == 0
                || requestClass.repeat() == Repeat.SAFE
                || requestClass.repeat() == Repeat.KEYED && requestClass.group() == Group.ALL) {
            host.refuse(pendingRequest.request.id(), 0, reason);
        } else {
            host.fail(pendingRequest.request.id());
        }
        finishRequest(pendingRequest);
    }

    /** Removes a request; the units it took are given back if it was never sent. */
    private void finishRequest(PendingRequest pendingRequest) {
        pendingRequests.remove(pendingRequest.request.id());
        if (pendingRequest.attemptCount == 0) {
            if (pendingRequest.ceilingGrant != null) {
                pendingRequest.customer.lease.refund(now, pendingRequest.ceilingGrant);
            }
            if (pendingRequest.inQuota) {
                pendingRequest.setWaitingQuotaUnits(0);
                pendingRequest.customer.takeUnits(-pendingRequest.request.units());
            }
        }
        pendingRequest.customer.startedRequests -= pendingRequest.countedAsStarted ? 1 : 0;
        pendingRequest.customer.unfinishedRequests--;
    }
}
