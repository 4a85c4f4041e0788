package thistlefall.edge.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The requests of one client connection that await their responses, in the order in which they arrived. Surplus
 * requests, which the node refuses because too many are pending, are kept only as a count behind the request that they
 * followed. Confined to the node's event loop; sizes are in bytes.
 */
final class RequestPipeline {
    private final int maxRequests;
    private final long maxBufferedBytes;
    private final ArrayDeque<RequestContext> requests = new ArrayDeque<>();
    private int surplusCount;
    /** The surplus requests with no request before them: their refusals are the next responses. */
    private int dueRefusals;
    /** The memory of all requests and the bytes of their bodies, as last counted. */
    private long heldBytes;

    private long bufferedBytes;

    /**
     * An empty pipeline. It is full with more than {@code maxRequests} requests, or if all but a single request buffer
     * more than {@code maxBufferedBytes}.
     */
    RequestPipeline(int maxRequests, long maxBufferedBytes) {
        this.maxRequests = maxRequests;
        this.maxBufferedBytes = maxBufferedBytes;
    }

    /** Whether no request awaits a response, surplus ones included. */
    boolean isEmpty() {
        return requests.isEmpty() && surplusCount == 0;
    }

    /** Returns the number of requests, surplus ones excepted. */
    int size() {
        return requests.size();
    }

    /** Returns the request whose response is next; null if there is none. */
    RequestContext first() {
        return requests.peekFirst();
    }

    void add(RequestContext requestContext) {
        requests.addLast(requestContext);
        recount(requestContext);
    }

    /** Counts again what one of the requests holds. */
    private void recount(RequestContext requestContext) {
        count(requestContext, requestContext.heldBytes(), requestContext.body.bufferedBytes());
    }

    private void count(RequestContext requestContext, long held, long buffered) {
        heldBytes += held - requestContext.countedHeldBytes;
        bufferedBytes += buffered - requestContext.countedBufferedBytes;
        requestContext.countedHeldBytes = held;
        requestContext.countedBufferedBytes = buffered;
    }

    private void removed(RequestContext requestContext) {
        count(requestContext, 0, 0);
    }

    /**
     * Counts again what may have changed: the first request, which may have an attempt, and the last one, whose body
     * may be coming.
     */
    private void recountChanged() {
        if (!requests.isEmpty()) {
            recount(requests.getFirst());
            recount(requests.getLast());
        }
    }

    /** Counts one surplus request behind the last request. */
    void addSurplus() {
        surplusCount++;
        if (requests.isEmpty()) {
            dueRefusals++;
        } else {
            requests.getLast().surplusRequestsBehind++;
        }
    }

    /** Returns how many refusals of surplus requests are the next responses. */
    int dueRefusals() {
        return dueRefusals;
    }

    /** Removes the surplus requests whose refusals are the next responses, and returns their number. */
    int removeDueRefusals() {
        int removed = dueRefusals;
        surplusCount -= removed;
        dueRefusals = 0;
        return removed;
    }

    /** Returns the number of surplus requests that await their refusals. */
    int surplusCount() {
        return surplusCount;
    }

    /** Removes the first request; the refusals of surplus requests directly behind it are due now. */
    void removeFirst() {
        RequestContext first = requests.removeFirst();
        removed(first);
        dueRefusals += first.surplusRequestsBehind;
    }

    /**
     * Makes surplus requests of all complete requests that follow another one and have not been dispatched. Returns
     * the removed requests; the caller releases their bodies.
     */
    List<RequestContext> convertWaitingToSurplus() {
        List<RequestContext> converted = new ArrayList<>();
        RequestContext kept = null;
        for (RequestContext requestContext : List.copyOf(requests)) {
            if (kept == null || requestContext.resolutionStarted || !requestContext.body.isComplete()) {
                kept = requestContext;
            } else {
                kept.surplusRequestsBehind += 1 + requestContext.surplusRequestsBehind;
                requestContext.surplusRequestsBehind = 0;
                surplusCount++;
                requests.remove(requestContext);
                removed(requestContext);
                converted.add(requestContext);
            }
        }
        return converted;
    }

    /**
     * Makes surplus requests of all complete requests if the first has not been dispatched. Returns the removed
     * requests; the caller releases their bodies.
     */
    List<RequestContext> convertUndispatchedToSurplus() {
        if (requests.isEmpty() || requests.peekFirst().resolutionStarted) {
            return List.of();
        }
        List<RequestContext> converted =
                requests.stream().filter(context -> context.body.isComplete()).toList();
        for (RequestContext requestContext : converted) {
            surplusCount++;
            dueRefusals += 1 + requestContext.surplusRequestsBehind;
            requestContext.surplusRequestsBehind = 0;
            removed(requestContext);
        }
        requests.removeAll(converted);
        return converted;
    }

    /** Removes the request that is still being received; there are no surplus requests behind it. */
    void removeIncomplete(RequestContext requestContext) {
        requests.remove(requestContext);
        removed(requestContext);
    }

    /** Removes everything and returns the requests, surplus ones excepted. */
    List<RequestContext> removeAll() {
        List<RequestContext> all = List.copyOf(requests);
        requests.clear();
        all.forEach(this::removed);
        surplusCount = 0;
        dueRefusals = 0;
        return all;
    }

    /** Whether a further request exceeds the limits. */
    boolean isFull() {
        return requests.size() > maxRequests || exceedsBufferLimit();
    }

    /** Whether there are several requests and they buffer too many bytes together. */
    boolean exceedsBufferLimit() {
        recountChanged();
        return requests.size() > 1 && bufferedBytes > maxBufferedBytes;
    }

    /** Returns the memory that all requests take. */
    long heldBytes() {
        recountChanged();
        return heldBytes;
    }

    /** Returns the number of requests, complete or not, whose responses are not complete; surplus ones included. */
    int pendingResponseCount() {
        return requests.size() + surplusCount;
    }
}
