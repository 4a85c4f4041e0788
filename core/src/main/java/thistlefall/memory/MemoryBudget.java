package thistlefall.memory;

/**
 * Divides the memory for client data between connections by a dynamic threshold: a connection may grow as long as it
 * holds at most a fixed fraction of what is free (Choudhury and Hahne, "Dynamic queue length thresholds in
 * shared-memory packet switches", 1998). A single connection can therefore use a lot while few others need memory, and
 * the more is in use, the less any of them may hold. Some memory always stays free, so that a connection which holds
 * little can be served however many hold much.
 *
 * <p>Accounts are updated after the fact, so the total may exceed the limit by what is read at once. Nothing more is
 * given out while the process cannot provide it, however little the accounts hold. All sizes are in bytes. Not
 * thread-safe.
 */
public final class MemoryBudget {
    /** A connection may hold one byte for this many free ones. */
    private static final long FREE_BYTES_FOR_EACH_HELD = 16;

    private final long limit;
    /** What the process can still provide, whoever holds the rest. */
    private long available = Long.MAX_VALUE;

    private long held;
    private long peak;
    private boolean shortage;

    /** Creates a budget of the given size. */
    public MemoryBudget(long limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit " + limit + " is not positive");
        }
        this.limit = limit;
    }

    /** Returns the size of the budget. */
    public long limit() {
        return limit;
    }

    /** Returns what all accounts hold together. */
    public long held() {
        return held;
    }

    /** Returns the most that all accounts have held together. */
    public long peak() {
        return peak;
    }

    /** Returns what a single connection may hold at present. */
    public long threshold() {
        return Math.max(0, Math.min(limit - held, available)) / FREE_BYTES_FOR_EACH_HELD;
    }

    /**
     * Sets what the process can still provide. What is counted here is what the connections asked for; the allocator
     * takes more, and others use it too.
     */
    public void setAvailable(long bytes) {
        available = bytes;
    }

    /** Returns whether an account has been denied memory since the last call. */
    public boolean takeShortage() {
        boolean hadShortage = shortage;
        shortage = false;
        return hadShortage;
    }

    /** Opens the account of a connection. */
    public Account openAccount() {
        return new Account();
    }

    /** What one connection holds. */
    public final class Account {
        private long accountHeld;
        private boolean closed;

        private Account() {}

        /** Returns what the connection holds. */
        public long held() {
            return accountHeld;
        }

        /** Returns whether the connection may hold this many bytes more; if not, the budget has a shortage. */
        public boolean tryGrow(long additionalBytes) {
            boolean allowed = accountHeld + additionalBytes <= threshold();
            shortage |= !allowed;
            return allowed;
        }

        /** Whether the connection holds more than one may at present. */
        public boolean exceedsThreshold() {
            return accountHeld > threshold();
        }

        /** Sets what the connection holds; without effect once the account is closed. */
        public void setHeld(long bytes) {
            if (closed) {
                return;
            }
            held += bytes - accountHeld;
            accountHeld = bytes;
            peak = Math.max(peak, held);
        }

        /** Returns everything to the budget. */
        public void close() {
            setHeld(0);
            closed = true;
        }
    }
}
