package thistlefall.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids, as given by their clients, of requests that may have run and must not run twice. A client that has left,
 * that was told of a failure, or that could not read its response, may send the same id again on another connection.
 * Each id is remembered for the given time. At the limit the ids of served requests are dropped, the oldest first; the
 * others never are: the caller accepts no further request that must not run twice while {@link #isFull()}. Times are
 * nanoseconds of one clock. Not thread-safe.
 */
public final class PossiblyRunRequestIds {
    private final int maxIds;
    /** When each id is forgotten; the one added first is first. */
    private final Map<String, Long> servedUntil = new LinkedHashMap<>();

    private final Map<String, Long> unservedUntil = new LinkedHashMap<>();

    /** Creates an empty set that remembers this many ids of each kind, and those of requests already accepted. */
    public PossiblyRunRequestIds(int maxIds) {
        this.maxIds = maxIds;
    }

    /** Remembers the id of a served request. */
    public void addServed(String id, long until) {
        if (servedUntil.size() >= maxIds) {
            removeFirst(servedUntil);
        }
        servedUntil.put(id, until);
    }

    /** Remembers the id of a request that was not served and may have run. */
    public void addUnserved(String id, long until) {
        unservedUntil.put(id, until);
    }

    /** Returns whether the id belongs to such a request and is still remembered. */
    public boolean contains(String id, long now) {
        return isRemembered(servedUntil.get(id), now) || isRemembered(unservedUntil.get(id), now);
    }

    private static boolean isRemembered(Long until, long now) {
        return until != null && now - until < 0;
    }

    /** Returns whether no further id of an unserved request should come to be remembered. */
    public boolean isFull() {
        return unservedUntil.size() >= maxIds;
    }

    /** Forgets the ids that were added first as far as their time is up. */
    public void expire(long now) {
        expire(servedUntil, now);
        expire(unservedUntil, now);
    }

    private static void expire(Map<String, Long> untilById, long now) {
        Iterator<Long> times = untilById.values().iterator();
        while (times.hasNext() && now - times.next() >= 0) {
            times.remove();
        }
    }

    private static void removeFirst(Map<String, Long> untilById) {
        Iterator<Long> times = untilById.values().iterator();
        times.next();
        times.remove();
    }
}
