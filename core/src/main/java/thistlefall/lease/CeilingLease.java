package thistlefall.lease;

import java.util.function.BooleanSupplier;

/**
 * The units that one gateway may spend under one customer's hard ceiling: a local part of its own, and units leased
 * from an account at the counter that all gateways share. The caller passes in requests, responses and the time;
 * {@link #nextCall} returns the next call to the counter.
 *
 * <p>The account gains units with time from its start, and each draw lowers it; the response to a draw also reports the
 * level before it. An account starts with zero units, so that an account restarted after a loss never lends the same
 * units again. A start takes two steps, a mark and, once that is answered, its confirmation, so that a mark that
 * arrives late starts nothing. The units that an idle account has gained beyond its burst are discarded before more is
 * lent. A draw whose response is late or missing lends nothing. Each period has its own account, and none is used near
 * the end of its period, as clocks differ.
 *
 * <p>Invariant: in any time {@code t} all gateways together spend at most {@code burst + rate * t}, even if calls are
 * lost, late or executed twice, the counter loses data, or gateways crash. This holds as long as clocks differ by less
 * than {@link #MAX_CLOCK_SKEW} and as long as a lost account is not started again by a mark and a confirmation that
 * were both sent before the loss. Times are nanoseconds of the clock that the gateways share. Not thread-safe.
 */
public final class CeilingLease implements Cloneable {
    /** The largest difference between the clocks of two gateways, nanoseconds. */
    public static final long MAX_CLOCK_SKEW = 100_000_000L;

    private static final double SECONDS_PER_NANO = 1e-9;
    /** A draw that exceeds the account's level is kept as a reservation only if it is covered within this time. */
    private static final long MAX_RESERVATION_WAIT = 1_000_000_000L;

    private static final long PAUSE_AFTER_FAILURE = 250_000_000L;
    /** How long a low account level that was read stays usable. */
    private static final long MAX_LEVEL_AGE = 200_000_000L;
    /** A call whose end is not reported is abandoned after this time. */
    private static final long CALL_TIMEOUT = 1_000_000_000L;
    /** An account whose start was never confirmed is restarted after this time. */
    private static final long INVALID_ACCOUNT_TIMEOUT = 500_000_000L;

    private static final long SPEND_RATE_TIME_CONSTANT = 2_000_000_000L;

    /**
     * A call to the counter.
     *
     * @param serial number to pass to {@link CeilingLease#callEnded}
     * @param account name of the account
     * @param amount amount to add
     * @param lifetime how long the counter keeps the account, nanoseconds
     */
    public record LeaseCall(long serial, long account, double amount, long lifetime) {}

    /**
     * Units that a request may take from the ceiling when it is sent.
     *
     * @param localUnits the part of them that comes from the local part
     * @param validUntil when the rest, which was leased, expires; {@code Long.MAX_VALUE} if nothing was
     */
    public record Grant(double localUnits, long validUntil) {}

    private enum LeaseStep {
        NONE,
        DRAW,
        DISCARD_EXCESS,
        DRAIN_PREVIOUS,
        WRITE_MARK,
        CONFIRM_MARK,
        RETRACT_MARK,
        VERIFY_RESERVATION
    }

    private final LeaseParameters parameters;
    private final AccountCodec codec;
    /** Hash of the customer's key. */
    private final long hashedKey;

    /** How much earlier this customer's periods begin than the multiples of the period. */
    private final long periodOffset;

    private double localUnits;
    private long localUnitsAt;
    /** Units of the local part that are granted to requests which have not been sent yet. */
    private double grantedUnits;

    private double leasedUnits;
    private long leaseExpiresAt;
    private double spendRate;
    private long spendRateAt;
    /** The period that the account fields below refer to. */
    private long currentPeriod = Long.MIN_VALUE;

    private LeaseStep nextStep = LeaseStep.NONE;
    private boolean accountLevelKnown;
    private double accountLevel;
    private long accountLevelAt;
    private long startMark;
    private AccountCodec.AccountState observedState;
    /** Amount of a draw that was added to an account without a valid mark; taken back when the mark is written. */
    private double amountToRetract;
    /**
     * Units of a draw that the account did not cover yet; the next fields hold the account's used units and mark at the
     * reservation, and the time at which the draw is covered.
     */
    private double reservedUnits;

    private double usedUnitsAtReservation;
    private long markAtReservation;
    private long reservationCoveredAt;
    /** Units of the previous period's account that the next account starts with. */
    private double carriedOverUnits;
    /** When the account was first seen without a valid mark; 0 if it is valid. */
    private long invalidSince;

    private long callsPausedUntil;
    /** The step of the outstanding call. */
    private LeaseStep pendingStep = LeaseStep.NONE;

    private long callSerial;
    private long callPeriod;
    private long callSentAt;
    private double callAmount;
    /** The part of the call's amount that discards units beyond the burst. */
    private double excessAmount;

    /**
     * Creates the state of a gateway that has spent no units yet.
     *
     * @param customerKey the customer's key, the same at every gateway
     * @param startedAt when the local part starts to gain units; spending before a restart is unknown
     */
    public CeilingLease(LeaseParameters parameters, long customerKey, long startedAt) {
        this.parameters = parameters;
        hashedKey = mix(customerKey);
        // Periods of different customers end at different moments.
        periodOffset = Math.floorMod(hashedKey, parameters.period());
        codec = new AccountCodec(parameters);
        localUnitsAt = startedAt;
        spendRateAt = startedAt;
    }

    /**
     * Returns a copy, from which a model check explores the possible next states. Every field is a value or immutable.
     */
    public CeilingLease copy() {
        try {
            return (CeilingLease) clone();
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns whether units can be leased at all. */
    public boolean leasingEnabled() {
        return parameters.leasingEnabled();
    }

    /**
     * Returns whether a call is outstanding or the start of an account is unfinished; other gateways may be waiting for
     * the start.
     */
    public boolean hasUnfinishedOperation() {
        return pendingStep != LeaseStep.NONE
                || nextStep == LeaseStep.DRAIN_PREVIOUS
                || nextStep == LeaseStep.WRITE_MARK
                || nextStep == LeaseStep.CONFIRM_MARK
                || nextStep == LeaseStep.RETRACT_MARK;
    }

    /** Returns when the local part will be full without further use; {@code now} if it is full. */
    public long fullAt(long now) {
        advance(now);
        double missingUnits = parameters.localBurst() - localUnits;
        return missingUnits <= 0
                ? now
                : now + (long) Math.ceil(missingUnits / parameters.localRate() / SECONDS_PER_NANO);
    }

    /** Lets the local part of a new state gain units so that it is full at {@code time}, unless it is full later. */
    public void assumeFullAt(long time) {
        long timeToFill = (long) Math.ceil(parameters.localBurst() / parameters.localRate() / SECONDS_PER_NANO);
        if (time != Long.MIN_VALUE) {
            localUnitsAt = Math.max(localUnitsAt, time - timeToFill);
        }
    }

    /**
     * Spends units if enough are available now.
     *
     * @return the units taken from the local part; below 0 if there are not enough
     */
    public double trySpend(long now, double units) {
        advance(now);
        if (localUnits + leasedUnits < units) {
            return -1;
        }
        double fromLease = Math.min(leasedUnits, units);
        leasedUnits -= fromLease;
        localUnits -= units - fromLease;
        spendRate += units / (SPEND_RATE_TIME_CONSTANT * SECONDS_PER_NANO);
        return units - fromLease;
    }

    /**
     * Grants units, if enough are available, to a request that is sent later. As long as it waits, they fill their
     * place in the local part: nothing accrues in it, as nothing would in a part that is full.
     *
     * @return the grant, which ends by {@link #sent} or {@link #refund}; null if there are not enough units
     */
    public Grant grant(long now, double units) {
        double localPart = trySpend(now, units);
        if (localPart < 0) {
            return null;
        }
        grantedUnits += localPart;
        return new Grant(localPart, localPart < units ? leaseExpiresAt : Long.MAX_VALUE);
    }

    /** Ends a grant because its request is sent now. */
    public void sent(long now, Grant grant) {
        advance(now);
        grantedUnits = Math.max(0, grantedUnits - grant.localUnits());
    }

    /** Ends a grant because its request is not sent: the units of the local part are available again. */
    public void refund(long now, Grant grant) {
        advance(now);
        grantedUnits = Math.max(0, grantedUnits - grant.localUnits());
        localUnits = Math.min(parameters.localBurst() - grantedUnits, localUnits + grant.localUnits());
    }

    /** Estimates the time until the units can be spent if no other gateway draws, in nanoseconds. */
    public long timeUntilAvailable(long now, double units) {
        advance(now);
        double missingUnits = units - localUnits - leasedUnits;
        if (missingUnits <= 0) {
            return 0;
        }
        if (nextStep == LeaseStep.VERIFY_RESERVATION
                && currentPeriod == periodIndex(now)
                && missingUnits <= reservedUnits) {
            return Math.max(0, reservationCoveredAt - now);
        }
        double accountUnits = accountLevelKnown && currentPeriod == periodIndex(now)
                ? Math.max(0, accountLevel + unitsGained(now - accountLevelAt))
                : 0;
        boolean leasing = parameters.leasingEnabled();
        double gainRate = parameters.localRate() + (leasing ? parameters.sharedRate() : 0);
        return gainRate <= 0
                ? Long.MAX_VALUE
                : (long) (Math.max(0, missingUnits - (leasing ? accountUnits : 0)) / gainRate / SECONDS_PER_NANO);
    }

    /**
     * Returns the call to make now; null for none.
     *
     * @param waitingUnits units that all waiting requests need together
     * @param mayCall asked only when there is a call to make; returns whether it may be made
     */
    public LeaseCall nextCall(long now, double waitingUnits, BooleanSupplier mayCall) {
        boolean callPending = pendingStep != LeaseStep.NONE && now - callSentAt < CALL_TIMEOUT;
        if (!parameters.leasingEnabled() || callPending || now < callsPausedUntil) {
            return null;
        }
        advance(now);
        long periodNow = periodIndex(now);
        if (periodNow != currentPeriod) {
            currentPeriod = periodNow;
            nextStep = LeaseStep.NONE;
            accountLevelKnown = false;
            invalidSince = 0;
        }
        if (timeInPeriod(now, periodNow) > parameters.period() - 2 * MAX_CLOCK_SKEW) {
            return null;
        }
        double amount;
        switch (nextStep) {
            case DRAIN_PREVIOUS -> amount = codec.amountForUnits(parameters.sharedBurst());
            case WRITE_MARK -> {
                startMark = codec.startMark(timeInPeriod(now, periodNow), carriedOverUnits);
                carriedOverUnits = 0;
                amount = codec.markAmount(startMark - observedState.startMark()) - amountToRetract;
            }
            case CONFIRM_MARK -> amount = codec.confirmationAmount(startMark - observedState.confirmedMark());
            case RETRACT_MARK -> amount = -codec.markAmount(startMark - observedState.startMark());
            case VERIFY_RESERVATION -> amount = 0;
            default -> {
                double neededUnits = waitingUnits - localUnits - leasedUnits;
                if (neededUnits <= 0
                        || accountLevelKnown
                                && accountLevel + unitsGained(now - accountLevelAt)
                                        < Math.min(neededUnits, parameters.sharedBurst() / 4)) {
                    return null;
                }
                // If the account holds plenty, also draw what will probably be spent before the lease expires.
                double prefetchUnits = accountLevelKnown && accountLevel > parameters.sharedBurst() / 2
                        ? spendRate * parameters.leaseDuration() * SECONDS_PER_NANO / 2
                        : 0;
                // Units that are drawn but can't be used are lost. So the call draws nothing and only reads the total
                // if the level is unknown, if it is low and outdated, or while another gateway is starting the account.
                boolean readOnly = invalidSince != 0
                        || !accountLevelKnown
                        || now - accountLevelAt > MAX_LEVEL_AGE && accountLevel < parameters.sharedBurst() / 2;
                amount = readOnly
                        ? 0
                        : codec.amountForUnits(Math.min(neededUnits + prefetchUnits, parameters.sharedBurst()));
                excessAmount = nextStep == LeaseStep.DISCARD_EXCESS
                        ? codec.amountForUnits(Math.max(
                                0, accountLevel + unitsGained(now - accountLevelAt) - parameters.sharedBurst()))
                        : 0;
            }
        }
        if (!mayCall.getAsBoolean()) {
            return null;
        }
        callSerial++;
        pendingStep = nextStep == LeaseStep.NONE ? LeaseStep.DRAW : nextStep;
        callPeriod = periodNow;
        callSentAt = now;
        callAmount = amount;
        long accountName = accountName(pendingStep == LeaseStep.DRAIN_PREVIOUS ? periodNow - 1 : periodNow);
        return new LeaseCall(
                callSerial,
                accountName,
                amount + (pendingStep == LeaseStep.DISCARD_EXCESS ? excessAmount : 0),
                2 * parameters.period());
    }

    /** Records the end of the outstanding call; if {@code answered}, {@code total} is the counter's new total. */
    public void callEnded(long now, long serial, boolean answered, double total) {
        if (serial != callSerial || pendingStep == LeaseStep.NONE) {
            return;
        }
        LeaseStep step = pendingStep;
        pendingStep = LeaseStep.NONE;
        nextStep = LeaseStep.NONE;
        boolean late =
                callPeriod != periodIndex(now) || timeInPeriod(now, callPeriod) > parameters.period() - MAX_CLOCK_SKEW;
        if (!answered || late) {
            accountLevelKnown = false;
            carriedOverUnits = 0;
            callsPausedUntil = now + (answered ? 0 : PAUSE_AFTER_FAILURE);
            return;
        }
        AccountCodec.AccountState state = codec.decode(total);
        switch (step) {
            case DRAIN_PREVIOUS -> {
                // The remaining units of the previous account carry over to this one, once: a later drain finds
                // none.
                double remainingUnits = state.valid()
                        ? codec.availableUnits(state, parameters.period()) + codec.unitsForAmount(callAmount)
                        : 0;
                carriedOverUnits = Math.max(0, Math.min(remainingUnits, codec.unitsForAmount(callAmount)));
                nextStep = LeaseStep.WRITE_MARK;
            }
            case WRITE_MARK -> {
                nextStep = state.startMark() == startMark ? LeaseStep.CONFIRM_MARK : LeaseStep.RETRACT_MARK;
                observedState = nextStep == LeaseStep.CONFIRM_MARK ? state : observedState;
            }
            case CONFIRM_MARK, RETRACT_MARK -> recordAccountLevel(state);
            case VERIFY_RESERVATION -> {
                recordAccountLevel(state);
                double levelAtReservation = accountLevel + state.usedUnits() - usedUnitsAtReservation;
                if (state.valid()
                        && state.startMark() == markAtReservation
                        && levelAtReservation > -codec.unitsForAmount(1)) {
                    addLease(now, reservedUnits);
                }
            }
            default -> handleDrawResponse(now, state, step == LeaseStep.DISCARD_EXCESS);
        }
    }

    private void handleDrawResponse(long now, AccountCodec.AccountState state, boolean excessDiscarded) {
        if (!state.valid()) {
            accountLevelKnown = false;
            invalidSince = invalidSince == 0 ? now : invalidSince;
            if (state.absent() || now - invalidSince > INVALID_ACCOUNT_TIMEOUT) {
                nextStep = state.absent() ? LeaseStep.DRAIN_PREVIOUS : LeaseStep.WRITE_MARK;
                observedState = state;
                amountToRetract = callAmount;
                invalidSince = 0;
            } else {
                // Another gateway is starting the account.
                callsPausedUntil = now + PAUSE_AFTER_FAILURE / 10;
            }
            return;
        }
        double drawnUnits = codec.unitsForAmount(callAmount);
        invalidSince = 0;
        recordAccountLevel(state);
        double levelBeforeDraw = accountLevel + drawnUnits;
        if (levelBeforeDraw > parameters.sharedBurst() * (excessDiscarded ? 1.001 : 1)) {
            nextStep = LeaseStep.DISCARD_EXCESS;
            return;
        }
        if (drawnUnits <= 0) {
            return;
        }
        if (levelBeforeDraw >= drawnUnits) {
            addLease(now, drawnUnits);
        } else if (-accountLevel < parameters.sharedRate() * MAX_RESERVATION_WAIT * SECONDS_PER_NANO) {
            // By then the account has gained enough to cover all draws up to this one; later draws don't matter. The
            // account is read again before the units are spent, because a lost account no longer covers them.
            reservedUnits = drawnUnits;
            usedUnitsAtReservation = state.usedUnits();
            markAtReservation = state.startMark();
            reservationCoveredAt = callSentAt + (long) (-accountLevel / parameters.sharedRate() / SECONDS_PER_NANO) + 1;
            callsPausedUntil = reservationCoveredAt;
            nextStep = LeaseStep.VERIFY_RESERVATION;
        }
    }

    private void addLease(long now, double units) {
        advance(now);
        // A new lease does not extend the units leased earlier.
        leaseExpiresAt = leasedUnits > 0
                ? Math.min(leaseExpiresAt, callSentAt + parameters.leaseDuration())
                : callSentAt + parameters.leaseDuration();
        leasedUnits += units;
    }

    /** Records the account's level as of the sending of the call, which is at most the level at its execution. */
    private void recordAccountLevel(AccountCodec.AccountState state) {
        accountLevelKnown = state.valid();
        accountLevel = codec.availableUnits(state, timeInPeriod(callSentAt, callPeriod));
        accountLevelAt = callSentAt;
    }

    private double unitsGained(long duration) {
        return parameters.sharedRate() * Math.max(0, duration) * SECONDS_PER_NANO;
    }

    private void advance(long now) {
        localUnits = Math.min(
                parameters.localBurst() - grantedUnits,
                localUnits + parameters.localRate() * Math.max(0, now - localUnitsAt) * SECONDS_PER_NANO);
        localUnitsAt = Math.max(localUnitsAt, now);
        spendRate *= Math.exp(-Math.max(0, now - spendRateAt) / (double) SPEND_RATE_TIME_CONSTANT);
        spendRateAt = Math.max(spendRateAt, now);
        if (now >= leaseExpiresAt) {
            leasedUnits = 0;
        }
    }

    private long periodIndex(long now) {
        return Math.floorDiv(now + periodOffset, parameters.period());
    }

    private long timeInPeriod(long now, long period) {
        return now + periodOffset - period * parameters.period();
    }

    private long accountName(long period) {
        return mix(hashedKey ^ mix(period)) >>> 1;
    }

    /** Stafford's variant 13 of the finalizer of MurmurHash3. */
    private static long mix(long z) {
        long x = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
