package thistlefall.edge.node;

import java.util.ArrayDeque;
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

    /**
     * An empty pipeline. It is full with more than {@code maxRequests} requests, or if all but a single request buffer
     * more than {@code maxBufferedBytes}.
     */
    RequestPipeline(int maxRequests, long maxBufferedBytes) {
        this.maxRequests = maxRequests;
        this.maxBufferedBytes = maxBufferedBytes;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns the request whose response is next; null if there is none. */
    RequestContext first() {
        return requests.peekFirst();
    }

    void add(RequestContext requestContext) {
        requests.addLast(requestContext);
    }

    /** Counts one surplus request behind the last request; the pipeline must not be empty. */
    void addSurplus() {
        requests.getLast().surplusRequestsBehind++;
        surplusCount++;
    }

    /** Returns the number of surplus requests that await their refusals. */
    int surplusCount() {
        return surplusCount;
    }

    /** Removes the first request and returns the number of surplus requests directly behind it. */
    int removeFirst() {
        int surplusBehind = requests.removeFirst().surplusRequestsBehind;
        surplusCount -= surplusBehind;
        return surplusBehind;
    }

    /** Removes the request that is still being received; there are no surplus requests behind it. */
    void removeIncomplete(RequestContext requestContext) {
        requests.remove(requestContext);
    }

    /** Removes everything and returns the requests, surplus ones excepted. */
    List<RequestContext> removeAll() {
        List<RequestContext> removed = List.copyOf(requests);
        requests.clear();
        surplusCount = 0;
        return removed;
    }

    /** Whether a further request exceeds the limits. */
    boolean isFull() {
        return requests.size() > maxRequests || exceedsBufferLimit();
    }

    /** Whether there are several requests and they buffer too many bytes together. */
    boolean exceedsBufferLimit() {
        return requests.size() > 1 && bufferedBytes() > maxBufferedBytes;
    }

    private long bufferedBytes() {
        long total = 0;
        for (RequestContext requestContext : requests) {
            total += requestContext.body.bufferedBytes();
        }
        return total;
    }

    /** Returns the number of dispatched or completely received requests whose responses are not complete. */
    int pendingResponseCount() {
        int pending = surplusCount;
        for (RequestContext requestContext : requests) {
            if (requestContext.resolutionStarted || requestContext.body.isComplete()) {
                pending++;
            }
        }
        return pending;
    }
}
