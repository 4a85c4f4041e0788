package thistlefall.timer;

import java.util.function.Consumer;

/**
 * A hashed timing wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987) for timeouts that are
 * nearly always cancelled. The cost of adding and cancelling does not depend on the number of timeouts, unlike in a
 * heap.
 *
 * <p>Times are nanoseconds of any one clock. A timeout never expires early; it expires in the first call of
 * {@link #expire} at or after its deadline. Within one call, timeouts of earlier ticks come first, and those of one
 * tick in the order in which they were added. Not thread-safe.
 *
 * @param <T> the type of the scheduled items
 */
public final class TimingWheel<T> {
    /** A scheduled item; serves as the handle for {@link #cancel}. */
    public static final class ScheduledTimeout<T> {
        private final T item;
        private final long deadline;
        private ScheduledTimeout<T> previous;
        private ScheduledTimeout<T> next;

        private ScheduledTimeout(T item, long deadline) {
            this.item = item;
            this.deadline = deadline;
        }

        /** Returns the scheduled item. */
        public T item() {
            return item;
        }

        /** Returns the deadline. */
        public long deadline() {
            return deadline;
        }

        private boolean linked() {
            return previous != null;
        }
    }

    private final ScheduledTimeout<T>[] slots;
    private final long tickDuration;
    private long currentTick;
    private int size;

    /**
     * Creates an empty wheel.
     *
     * @param tickDuration nanoseconds per slot
     * @param slotCount number of slots, rounded up to a power of two; a timeout further away than one turn of the wheel
     *     is checked once per turn
     * @param now the current time
     */
    @SuppressWarnings("unchecked")
    public TimingWheel(long tickDuration, int slotCount, long now) {
        if (tickDuration <= 0 || slotCount <= 0 || slotCount > 1 << 24) {
            throw new IllegalArgumentException(
                    "a timing wheel can't have " + slotCount + " slots of " + tickDuration + " ns");
        }
        int roundedSlotCount = Integer.highestOneBit(Math.max(1, slotCount - 1)) << 1;
        this.slots = new ScheduledTimeout[roundedSlotCount];
        this.tickDuration = tickDuration;
        currentTick = Math.floorDiv(now, tickDuration);
    }

    /** Returns the number of scheduled items. */
    public int size() {
        return size;
    }

    /** Schedules an item; one whose deadline has passed expires in the next {@link #expire}. */
    public ScheduledTimeout<T> add(T item, long deadline) {
        var timeout = new ScheduledTimeout<>(item, deadline);
        int slotIndex = slotIndex(Math.max(currentTick, Math.floorDiv(deadline, tickDuration)));
        ScheduledTimeout<T> head = slots[slotIndex];
        if (head == null) {
            // List heads are created on first use, so that a new or unused wheel costs almost nothing.
            head = new ScheduledTimeout<>(null, 0);
            head.previous = head;
            head.next = head;
            slots[slotIndex] = head;
        }
        timeout.previous = head.previous;
        timeout.next = head;
        head.previous.next = timeout;
        head.previous = timeout;
        size++;
        return timeout;
    }

    /** Cancels a timeout; returns false if it has expired or was cancelled before. */
    public boolean cancel(ScheduledTimeout<T> timeout) {
        if (timeout == null || !timeout.linked()) {
            return false;
        }
        timeout.previous.next = timeout.next;
        timeout.next.previous = timeout.previous;
        timeout.previous = null;
        timeout.next = null;
        size--;
        return true;
    }

    /** Removes all expired timeouts and passes each to the callback, which may add and cancel timeouts. */
    public void expire(long now, Consumer<? super T> onExpired) {
        long lastTick = Math.floorDiv(now, tickDuration);
        if (lastTick - currentTick >= slots.length) {
            // After a long stall each slot is checked once, starting with the oldest.
            currentTick = lastTick - slots.length + 1;
        }
        for (long tick = currentTick; tick <= lastTick; tick++) {
            currentTick = tick;
            ScheduledTimeout<T> head = slots[slotIndex(tick)];
            if (head != null) {
                expireSlot(head, now, onExpired);
            }
        }
    }

    private void expireSlot(ScheduledTimeout<T> head, long now, Consumer<? super T> onExpired) {
        // Collected before the callbacks run, so that a timeout added to this slot by a callback waits for the next
        // call.
        ScheduledTimeout<T> lastTimeout = head.previous;
        if (lastTimeout == head) {
            return;
        }
        var expired = new java.util.ArrayList<ScheduledTimeout<T>>();
        for (ScheduledTimeout<T> timeout = head.next; timeout != head; timeout = timeout.next) {
            if (timeout.deadline <= now) {
                expired.add(timeout);
            }
        }
        for (ScheduledTimeout<T> timeout : expired) {
            if (cancel(timeout)) {
                onExpired.accept(timeout.item);
            }
        }
    }

    private int slotIndex(long tick) {
        return (int) (tick & slots.length - 1);
    }
}
