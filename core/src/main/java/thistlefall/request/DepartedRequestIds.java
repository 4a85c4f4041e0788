package thistlefall.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids, as given by their clients, of requests that may have run, must not run twice, and whose clients left without
 * the response: they may send the same id again on another connection. Each id is remembered until the time of its
 * request is up; at the limit the oldest is dropped. Times are nanoseconds of one clock. Not thread-safe.
 */
public final class DepartedRequestIds {
    private final int maxIds;
    /** When each id is dropped; the oldest id is first. */
    private final Map<String, Long> deadlineById = new LinkedHashMap<>();

    /** Creates an empty set that remembers at most {@code maxIds}. */
    public DepartedRequestIds(int maxIds) {
        this.maxIds = maxIds;
    }

    /** Remembers an id until the deadline of its request. */
    public void add(String id, long deadline) {
        deadlineById.remove(id);
        if (deadlineById.size() >= maxIds) {
            removeOldest();
        }
        deadlineById.put(id, deadline);
    }

    /** Returns whether the id belongs to such a request and its time is not up. */
    public boolean contains(String id, long now) {
        Long deadline = deadlineById.get(id);
        return deadline != null && now - deadline < 0;
    }

    /** Drops the oldest ids as far as their time is up. */
    public void expire(long now) {
        Iterator<Long> deadlines = deadlineById.values().iterator();
        while (deadlines.hasNext() && now - deadlines.next() >= 0) {
            deadlines.remove();
        }
    }

    /** Returns the number of ids remembered. */
    public int size() {
        return deadlineById.size();
    }

    private void removeOldest() {
        Iterator<Long> deadlines = deadlineById.values().iterator();
        deadlines.next();
        deadlines.remove();
    }
}
