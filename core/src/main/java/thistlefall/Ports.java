package thistlefall;

import java.util.List;

/**
 * The interface of the decision module {@link Gateway}: its settings, the events that its host calls and the actions
 * that it calls on its host. It holds types only and makes no decisions.
 *
 * <p>All times are nanoseconds of one monotonic clock with an arbitrary origin, and durations are nanoseconds too.
 * One thread at a time may call an instance, and {@link Actions} are called on that thread, from within an event.
 * Instances share no state.
 */
public final class Ports {
    private Ports() {}

    /** How often a request of a class may take effect, and so whether it may be retried. */
    public enum Repeat {
        /** May be repeated freely. */
        SAFE,
        /** Carries an idempotency key; a group of servers drops its repeats for the key window. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The servers that drop repeats of a {@link Repeat#KEYED} request. */
    public enum Group {
        /** Every server. */
        ALL,
        /** The servers of the zone that the request was first sent to. */
        ZONE,
        /** The servers of the cell that the request was first sent to. */
        CELL
    }

    /** How an attempt, a probe or a call to the counter ended. */
    public enum Outcome {
        /** The request was served, or the call was counted. */
        OK(false),
        /** The server responded with an error; the request may have run. */
        ERROR(false),
        /** Rejected before any processing. */
        FULL(true),
        /** No response in time; the request may have run, or the call may have been counted. */
        TIMEOUT(false),
        /** No connection was established in time. */
        CONNECT_FAILED(true),
        /** The connection broke; the request may have run. */
        RESET(false),
        /** The attempt was cancelled; the request may have run. */
        CANCELLED(false),
        /** The host never sent it. */
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the attempt had no effect. */
        public boolean provesNeverRan() {
            return neverRan;
        }
    }

    /** Why a request was refused. */
    public enum Reason {
        /** Beyond its quota according to a fresh counter total. */
        QUOTA,
        /** Beyond its quota as estimated from an old counter total. */
        QUOTA_ESTIMATED,
        /** Beyond this gateway's part of a quota whose counter total is not available. */
        QUOTA_PART,
        /** Beyond the units that this gateway may spend under the customer's ceiling. */
        CEILING,
        /** Arrived with too little time left for a response within its aim. */
        TIME,
        /** Waited too long, or had the least worth in a queue that was too long. */
        QUEUE,
        /** Not served by any server within the attempts that it may have. */
        SERVERS,
        /** Of a customer that is not remembered, while no remembered one can be forgotten. */
        CUSTOMERS,
        /** Of an unknown class or plan. */
        UNKNOWN
    }

    /** The state of a server in the server list. */
    public enum Readiness {
        /** Removed from the list. */
        GONE,
        /** Accepts requests. */
        READY,
        /** Finishes its requests and gets no new ones. */
        DRAINING
    }

    /** What an update of the server list holds. */
    public enum ListKind {
        /** The whole list. */
        FULL,
        /** The whole list as saved before this start of the process; it may be outdated. */
        CACHED,
        /** Only the entries that changed. */
        DELTA,
        /** A request for the list failed; the previous list remains in force. */
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param aim a response within this time of the arrival has its full worth
     * @param deadline how long a client waits in total, over all its tries
     * @param repeat whether and how a request may be repeated
     * @param group which servers drop repeats of a keyed request
     * @param keyWindow how long they do so, counted from the first attempt that may have run
     * @param lateValue the fraction of the worth that a response after the aim earns
     * @param worth the value of one request served in time, relative to the other classes
     */
    public record RequestClass(
            long aim, long deadline, Repeat repeat, Group group, long keyWindow, double lateValue, double worth) {}

    /**
     * A plan of customers; its limits apply to each customer over all gateways together.
     *
     * @param rate units per second of the quota; 0 for no quota
     * @param burst units that the quota can accumulate
     * @param maxInFlight limit on requests in flight; 0 for no limit
     * @param price factor applied to the worth of a request
     * @param overQuotaEarnings fraction of the worth that a request beyond the quota earns
     * @param overQuotaCost fraction of the worth that sending a request beyond the quota costs
     * @param ceilingRate units per second of the hard ceiling; 0 for no ceiling
     * @param ceilingBurst units that the ceiling can accumulate
     * @param ceilingSlack how many units below zero the check of rule 5 lets the balance of the ceiling fall; the
     *     gateway does not use it
     */
    public record Plan(
            double rate,
            double burst,
            int maxInFlight,
            double price,
            double overQuotaEarnings,
            double overQuotaCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /**
     * What the deployment allows.
     *
     * @param maxAttempts maximum number of attempts per request
     * @param maxPendingRequests maximum number of unfinished requests per instance
     * @param probesAllowed whether the gateway may probe servers
     * @param retryAfter whether a refusal tells the client when to retry
     * @param maxRetryAfter the longest such delay that clients follow
     * @param mustSubscribeToList whether the gateway must subscribe to changes of the server list
     */
    public record Limits(
            int maxAttempts,
            int maxPendingRequests,
            boolean probesAllowed,
            boolean retryAfterAllowed,
            long maxRetryAfter,
            boolean mustSubscribeToList) {}

    /**
     * The shared quota counter.
     *
     * @param present whether a counter exists
     * @param timeout a call without a response by then ends as {@link Outcome#TIMEOUT}
     * @param reportsTrueUnits whether responses of servers state the true units of a request
     * @param largestRequestUnits units of the largest request
     * @param supportsLeases whether its totals keep fifteen digits, so that ceiling units can be leased through it
     */
    public record Counter(
            boolean present,
            long timeout,
            boolean reportsTrueUnits,
            double largestRequestUnits,
            boolean supportsLeases) {}

    /**
     * The parameters of the rules, the guarantees that the gateway must keep.
     *
     * @param responseSlack how long after the deadline a final response still counts
     * @param coldCapacityFraction fraction of its capacity that a server has at least when it starts
     * @param coldStartDuration duration of the warm-up after a start
     * @param overloadMultiple load, as a multiple of its present capacity, above which a server fails
     * @param overloadDuration how long the load must stay above that for the server to fail
     */
    public record Rules(
            long responseSlack,
            double coldCapacityFraction,
            long coldStartDuration,
            double overloadMultiple,
            long overloadDuration) {}

    /**
     * The settings of an instance, given at its start.
     *
     * @param instance number of this gateway, from 0
     * @param gatewayCount number of gateways, this one included
     * @param zone zone of this gateway
     * @param timeGranularity the host reports events at intervals of at least this long
     * @param serverSizesMeaningful whether the sizes in the server list are meaningful
     * @param loadReportNames names of the values in a load report, in their order
     */
    public record Settings(
            int instance,
            int gatewayCount,
            int zone,
            long timeGranularity,
            boolean serverSizesMeaningful,
            List<String> loadReportNames,
            List<RequestClass> classes,
            List<Plan> plans,
            Limits limits,
            Counter counter,
            Rules rules) {}

    /**
     * An entry of the server list.
     *
     * @param size relative capacity
     * @param startedAt when the server started; 0 if it started long ago
     */
    public record Server(String id, double size, int zone, int cell, int kind, Readiness readiness, long startedAt) {}

    /**
     * A request as it arrives.
     *
     * @param deadline time at which the client stops waiting for this try
     * @param units units that it takes from the quota; may be an estimate
     * @param gatewaySetSize number of gateways that the customer sends requests through
     * @param firstGateway number of the first of these gateways
     * @param repeat whether the client marked it as a repeated request
     */
    public record Request(
            String id,
            int requestClass,
            int plan,
            long customer,
            long deadline,
            double units,
            int gatewaySetSize,
            int firstGateway,
            boolean markedAsRepeat) {}

    /**
     * The end of an attempt.
     *
     * @param duration duration since the attempt was sent, without the time for which its client held it up
     * @param responseComplete whether the request needs no further response
     * @param trueUnits units that replace the estimate; 0 if unknown
     * @param report the server's load report; empty if none
     */
    public record Result(
            String id,
            Outcome outcome,
            long duration,
            String server,
            boolean responseComplete,
            int attempt,
            double trueUnits,
            List<Double> report) {}

    /**
     * What must hold when the first byte of an attempt is sent; times are of the clock of the events.
     *
     * @param latestSendTime what the decision relied on holds until then
     * @param latestStartTime when the server must have begun the request, as the host tells it; {@code Long.MAX_VALUE}
     *     if only the timeout of the attempt limits that
     * @param proof what the server must have shown on the connection
     */
    public record SendConditions(long latestSendTime, long latestStartTime, ConnectionProof proof) {}

    /**
     * What a server must have shown on a connection before a request is sent on it. An established connection shows
     * nothing: the server's system completes it and takes bytes on it, and the server may take them much later.
     */
    public enum ConnectionProof {
        /** Nothing. */
        NONE,
        /** It has ever responded on it; on a new one, to a probe, if the settings allow probes. */
        HAS_RESPONDED,
        /** It has responded to a probe just before; without probes, it has ever responded on it. */
        RESPONDS_NOW
    }

    /** The events that the host reports, in the order in which they happen. */
    public interface Events {
        /** The server list or changes of it arrived, or a request for it failed. */
        void serverListUpdated(long now, ListKind kind, List<Server> entries);

        /** A request arrived; it needs exactly one final response. */
        void request(long now, Request request);

        /** An attempt ended; each attempt ends exactly once. */
        void attemptEnded(long now, Result result);

        /** The response stream of a request started; its deadline no longer applies. */
        void streamStarted(long now, String id);

        /** The client of a request is gone; no response is needed any more. */
        void clientGone(long now, String id);

        /** A counter call ended; calls with the same name end in the order in which they were made. */
        void counterCallEnded(long now, long name, Outcome outcome, double total);

        /** A probe ended. */
        void probeEnded(long now, String server, Outcome outcome, long took, List<Double> report);

        /** A timer expired. */
        void timerExpired(long now, long token);
    }

    /** The actions that the module calls on its host; each takes effect immediately. */
    public interface Actions {
        /**
         * Starts an attempt and ends it if there is no response within {@code timeout}. It may wait for a connection,
         * but is sent only under the given conditions, or else ends as one that never ran.
         */
        void send(String id, String server, long timeout, SendConditions conditions);

        /** Ends an attempt of which no byte was sent as {@link Outcome#NOT_SENT}; any other goes on. */
        void withdraw(String id);

        /** Final response: refused, and a repeat is harmless; {@code retryAfter} 0 means no advice on when to retry. */
        void refuse(String id, long retryAfter, Reason reason);

        /** Final response: failed, and the request may or may not have taken effect. */
        void fail(String id);

        /** Probes a server; called only if the settings allow probes. */
        void probe(String server);

        /** Adds to the named counter value, which expires {@code lifetime} after the first call with its name. */
        void addToCounter(long name, double amount, long lifetime);

        /** Schedules {@link Events#timerExpired} with this token after {@code span}. */
        void scheduleTimer(long token, long span);

        /** Subscribes to changes of the server list; called only if required or after a failed list request. */
        void subscribeToServerList();

        /** Writes a log line for the operators. */
        void log(String text);
    }
}
