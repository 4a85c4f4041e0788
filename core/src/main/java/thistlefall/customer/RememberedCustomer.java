package thistlefall.customer;

/** What a {@link CustomerTable} needs to know of a customer. Times are nanoseconds of one clock. */
public interface RememberedCustomer {
    /** Returns the customer's key. */
    long key();

    /** Returns whether a request or a call to the counter depends on this state, so that it must be kept. */
    boolean isInUse();

    /** Returns whether some of its use has not been reported to the other gateways. */
    boolean hasUnreportedUse();

    /** Returns when it was last used. */
    long lastUsedAt();

    /** Returns when its quota will be full again without further use; not after {@code now} if it is full. */
    long quotaFullAt(long now);

    /** Called when the customer is forgotten at the limit; its unreported use is not reported any more. */
    void forgotten();

    /** Returns when its part of the ceiling will be full again; not after {@code now} if it is, or has none. */
    long ceilingFullAt(long now);
}
