package thistlefall.lease;

/**
 * Encodes the state of a shared account in one decimal number at the counter, and the amounts that change it. From the
 * right, the number has five digits for the units used, counted in quanta of 1/2000 of the account's burst; five for
 * the start mark, the tick at which the account started; and five for the confirmation, which repeats the start mark.
 * These fifteen digits fit exactly into a double and into the counter.
 *
 * <p>An error in any part can only make the account lend fewer units. A lost account has no mark, and nothing is lent
 * on it. A mark that was added twice, or by two gateways, adds up to a later start. A mark without a matching
 * confirmation was added late, or its account was lost between the two calls. Times are nanoseconds. Immutable.
 */
final class AccountCodec {
    private static final double FIELD_BASE = 1e5;
    private static final double MARK_FACTOR = FIELD_BASE;
    private static final double CONFIRMATION_FACTOR = FIELD_BASE * FIELD_BASE;
    private static final int TICK_COUNT = 20_000;
    private static final int QUANTA_PER_BURST = 2_000;

    private final LeaseParameters parameters;
    private final double quantum;
    private final long tickDuration;
    /**
     * How long before its period an account may start, in nanoseconds; the earliest start stands for a full burst
     * carried over from the previous account.
     */
    private final long maxHeadStart;

    AccountCodec(LeaseParameters parameters) {
        this.parameters = parameters;
        maxHeadStart =
                parameters.leasingEnabled() ? (long) (parameters.sharedBurst() / parameters.sharedRate() * 1e9) + 1 : 0;
        quantum = parameters.sharedBurst() / QUANTA_PER_BURST;
        tickDuration = Math.max(1, (parameters.period() + maxHeadStart) / TICK_COUNT);
    }

    /** The state of an account decoded from a counter total. */
    record AccountState(long startMark, long confirmedMark, double usedUnits) {
        boolean absent() {
            return startMark == 0;
        }

        /** Whether units may be lent on it. */
        boolean valid() {
            return startMark > 0 && startMark == confirmedMark;
        }
    }

    AccountState decode(double total) {
        double rounded = Math.rint(total);
        if (rounded < 0 || rounded >= CONFIRMATION_FACTOR * FIELD_BASE) {
            return new AccountState(-1, 0, 0);
        }
        double confirmation = Math.floor(rounded / CONFIRMATION_FACTOR);
        double remainder = rounded - confirmation * CONFIRMATION_FACTOR;
        double mark = Math.floor(remainder / MARK_FACTOR);
        return new AccountState((long) mark, (long) confirmation, (remainder - mark * MARK_FACTOR) * quantum);
    }

    /** Returns the amount to add for the given units, rounded up to whole quanta. */
    double amountForUnits(double units) {
        return Math.ceil(units / quantum - 1e-9);
    }

    /** Returns the units that an amount stands for. */
    double unitsForAmount(double amount) {
        return amount * quantum;
    }

    /** Returns the start mark of an account that holds at most {@code initialUnits} now. */
    long startMark(long timeInPeriod, double initialUnits) {
        long headStart = (long) (Math.max(0, initialUnits) / parameters.sharedRate() * 1e9);
        return 2 + Math.max(0, timeInPeriod + maxHeadStart - headStart) / tickDuration;
    }

    double markAmount(long mark) {
        return mark * MARK_FACTOR;
    }

    double confirmationAmount(long mark) {
        return mark * CONFIRMATION_FACTOR;
    }

    /** Returns the units in the account at a moment of its period, not limited to the burst. */
    double availableUnits(AccountState state, long timeInPeriod) {
        long startedAt = (state.startMark() - 1) * tickDuration - maxHeadStart;
        return parameters.sharedRate() * Math.max(0, timeInPeriod - startedAt) * 1e-9 - state.usedUnits();
    }
}
