package thistlefall.standin.app;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that a group of servers has seen. A repeat within the window gets a response but is not run.
 * Bounded: the oldest key is evicted when the store is full. Thread-safe.
 */
public final class IdempotencyKeyStore {
    private static final int MAX_KEYS = 200_000;
    private final Map<String, Long> claimedAtByKey = new LinkedHashMap<>();

    /** Adds the key and returns true, unless it was already added less than {@code windowNanos} before. */
    public synchronized boolean addIfAbsent(String key, long nowNanos, long windowNanos) {
        Long claimedAt = claimedAtByKey.get(key);
        if (claimedAt != null && nowNanos - claimedAt < windowNanos) {
            return false;
        }
        claimedAtByKey.remove(key);
        claimedAtByKey.put(key, nowNanos);
        if (claimedAtByKey.size() > MAX_KEYS) {
            claimedAtByKey.remove(claimedAtByKey.keySet().iterator().next());
        }
        return true;
    }
}
