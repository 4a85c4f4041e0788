package thistlefall.lease;

/**
 * The lease parameters of one customer, the same at every gateway. Each gateway has a local part of a ceiling of
 * {@code rate} and {@code burst}; the rest is one shared account at the counter that lends units.
 *
 * <p>The local parts and the shared account add up to the ceiling: {@code gateways * localRate + sharedRate = rate}.
 * The burst of the account is reduced by the units that unexpired leases may still spend.
 *
 * @param localRate units per second that this gateway may spend without a call to the counter
 * @param localBurst the most units that the local part may accumulate
 * @param sharedRate units per second that the account gains
 * @param sharedBurst the most units that the account may hold
 * @param leaseDuration how long leased units may be spent, nanoseconds
 * @param period how long an account is used, nanoseconds; the next account starts with zero units
 */
public record LeaseParameters(
        double localRate, double localBurst, double sharedRate, double sharedBurst, long leaseDuration, long period) {
    /**
     * All local parts together are this factor divided by the number of gateways, as a fraction of the ceiling; at most
     * the whole ceiling.
     */
    private static final double LOCAL_SHARE_FACTOR = 1.5;

    private static final double SECONDS_PER_NANO = 1e-9;
    private static final long MAX_LEASE_DURATION = 300_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Returns the parameters for a ceiling.
     *
     * @param leasable whether the counter supports leases; if not, each gateway has only its local part
     */
    public static LeaseParameters of(double rate, double burst, int gateways, boolean leasable) {
        double localFraction = leasable && gateways > 1 ? Math.min(1, LOCAL_SHARE_FACTOR / gateways) : 1;
        double sharedRate = rate * (1 - localFraction);
        double fillSeconds = rate > 0 ? burst / rate : 1;
        long leaseDuration = Math.min(MAX_LEASE_DURATION, (long) (fillSeconds / 6 * NANOS_PER_SECOND));
        // The burst is reduced by the units gained during a lease and the largest clock skew, because the counter may
        // execute a draw later than it was sent, and the leased units are spent later still.
        double sharedBurst = Math.max(
                0,
                burst * (1 - localFraction)
                        - sharedRate * (leaseDuration + CeilingLease.MAX_CLOCK_SKEW) * SECONDS_PER_NANO);
        long period = (long) (Math.max(4, Math.min(24, 6 * fillSeconds)) * NANOS_PER_SECOND);
        return new LeaseParameters(
                rate * localFraction / gateways,
                burst * localFraction / gateways,
                sharedRate,
                sharedBurst,
                leaseDuration,
                period);
    }

    /** Returns whether units can be leased. */
    public boolean leasingEnabled() {
        return sharedRate > 0 && sharedBurst > 0;
    }
}
