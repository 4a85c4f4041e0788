package thistlefall.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import thistlefall.Ports.Group;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.RequestClass;
import thistlefall.timer.TimingWheel;

/**
 * Tracks accepted requests. Each gets exactly one final response before its deadline, whatever the decision module, the
 * token check or a socket does. The tracker decides nothing about ordinary requests; it
 * <ul>
 *   <li>assigns ids that are never reused in the lifetime of a node,</li>
 *   <li>lets one final response through and rejects every later one,</li>
 *   <li>allows only one outstanding attempt per request,</li>
 *   <li>decides between refused and failed from the attempts that have ended,</li>
 *   <li>ends requests that are still open shortly before their deadline.</li>
 * </ul>
 *
 * <p>Invariant: a request is open from {@link #accept} to its first {@link #complete}, and tracked until its attempt
 * has ended too. Times are nanoseconds of one clock. Not thread-safe.
 */
public final class RequestTracker {
    /** The tracked state of one request. */
    public static final class TrackedRequest {
        private final String id;
        private final RequestClass requestClass;
        private final long deadline;
        private TimingWheel.ScheduledTimeout<TrackedRequest> timeout;
        private boolean open = true;
        private boolean attemptOutstanding;
        private boolean mayHaveRun;
        private int attempts;
        private FailureCause cause;

        private TrackedRequest(String id, RequestClass requestClass, long deadline) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        /** Returns the id that this node gave the request. */
        public String id() {
            return id;
        }

        public RequestClass requestClass() {
            return requestClass;
        }

        /** Returns the time at which the client stops waiting. */
        public long deadline() {
            return deadline;
        }

        /** Returns whether the final response has not been given yet. */
        public boolean open() {
            return open;
        }

        /** Returns why the request was not served; null while it is open and if it was served. */
        public FailureCause cause() {
            return cause;
        }

        /** Returns whether the request may have run and must not run a second time. */
        public boolean mustNotRunAgain() {
            return mayHaveRun() && requestClass.repeat() != Repeat.SAFE;
        }

        /** Returns whether an attempt is outstanding. */
        public boolean attemptOutstanding() {
            return attemptOutstanding;
        }

        /** Returns the number of attempts started so far. */
        public int attempts() {
            return attempts;
        }

        /** Returns whether an attempt, including an outstanding one, may have run. */
        public boolean mayHaveRun() {
            return mayHaveRun || attemptOutstanding;
        }

        /**
         * Returns whether a retry by the client would be harmless now, so that the request may be answered as refused.
         */
        public boolean mayBeRefused() {
            return !mayHaveRun()
                    || requestClass.repeat() == Repeat.SAFE
                    || requestClass.repeat() == Repeat.KEYED && requestClass.group() == Group.ALL;
        }
    }

    private final Map<String, TrackedRequest> requestsById = new HashMap<>();
    private final TimingWheel<TrackedRequest> timingWheel;
    private final int maxOpen;
    private final long expiryMargin;
    private final String idPrefix;
    private long nextId;
    private int openCount;

    /**
     * Creates a tracker without requests.
     *
     * @param idPrefix distinguishes the ids of this node process from those of other processes in logs and traces
     * @param maxOpen the most requests that may be open at once
     * @param expiryMargin how long before its deadline an open request is ended by {@link #expire}
     * @param now the current time
     */
    public RequestTracker(String idPrefix, int maxOpen, long expiryMargin, long now) {
        this.idPrefix = idPrefix;
        this.maxOpen = maxOpen;
        this.expiryMargin = expiryMargin;
        timingWheel = new TimingWheel<>(2_000_000L, 8192, now);
    }

    /** Returns the number of open requests. */
    public int open() {
        return openCount;
    }

    /** Returns the number of tracked requests: open ones, and answered ones with an outstanding attempt. */
    public int size() {
        return requestsById.size();
    }

    /** Returns whether another request may be accepted. */
    public boolean hasCapacity() {
        return openCount < maxOpen;
    }

    /** Accepts a request, which from now on must get a final response. */
    public TrackedRequest accept(RequestClass requestClass, long deadline) {
        var request = new TrackedRequest(idPrefix + Long.toString(nextId++, 36), requestClass, deadline);
        request.timeout = timingWheel.add(request, deadline - expiryMargin);
        requestsById.put(request.id, request);
        openCount++;
        return request;
    }

    /** Returns a tracked request; null if it is no longer tracked. */
    public TrackedRequest find(String id) {
        return requestsById.get(id);
    }

    /** Returns whether an attempt may start now; if so, it counts as outstanding. */
    public boolean tryStartAttempt(TrackedRequest request) {
        if (!request.open || request.attemptOutstanding) {
            return false;
        }
        request.attemptOutstanding = true;
        request.attempts++;
        return true;
    }

    /** Records the end of the outstanding attempt. */
    public void attemptEnded(TrackedRequest request, Outcome outcome) {
        if (!request.attemptOutstanding) {
            throw new IllegalStateException(request.id + " has no outstanding attempt");
        }
        request.attemptOutstanding = false;
        request.mayHaveRun |= !outcome.provesNeverRan();
        removeIfFinished(request);
    }

    /**
     * Completes a request.
     *
     * @param cause why the request is not served; null if it is served
     * @return the response to give, where a refusal that would not be truthful becomes a failure; null if the request
     *     was completed before
     */
    public ResponseKind complete(TrackedRequest request, ResponseKind requested, FailureCause cause) {
        if (!request.open) {
            return null;
        }
        request.open = false;
        openCount--;
        timingWheel.cancel(request.timeout);
        ResponseKind effective =
                requested == ResponseKind.REFUSED && !request.mayBeRefused() ? ResponseKind.FAILED : requested;
        request.cause = effective == requested ? cause : FailureCause.EFFECT;
        removeIfFinished(request);
        return effective;
    }

    /** Completes the request of a client that has left. */
    public void clientGone(TrackedRequest request) {
        complete(request, ResponseKind.FAILED, FailureCause.CLIENT);
    }

    /**
     * Passes each request still open {@code guardTime} before its deadline to the callback, with the truthful response.
     */
    public void expire(long now, BiConsumer<TrackedRequest, ResponseKind> onExpired) {
        timingWheel.expire(now, request -> onExpired.accept(request, permittedResponse(request)));
    }

    /** Returns the response for a request that can wait no longer: refused if that is truthful, otherwise failed. */
    public static ResponseKind permittedResponse(TrackedRequest request) {
        return request.mayBeRefused() ? ResponseKind.REFUSED : ResponseKind.FAILED;
    }

    /** Returns all open requests in no particular order, for a shutdown. */
    public java.util.List<TrackedRequest> openRequests() {
        return requestsById.values().stream().filter(TrackedRequest::open).toList();
    }

    private void removeIfFinished(TrackedRequest request) {
        if (!request.open && !request.attemptOutstanding) {
            requestsById.remove(request.id);
        }
    }
}
