package thistlefall.quota;

/**
 * Limits the calls of one gateway to the shared counter. The rate starts with the gateway's share of
 * {@value #INITIAL_FLEET_RATE} calls per second and grows with each fast response after a denied call, as in TCP slow
 * start. It is reduced at the first sign of queueing: a response much slower than the fastest one, or a missing
 * response; too many outstanding calls only deny further calls. After that it grows slowly, and faster the longer no
 * call was slow (after TCP, RFC 5681, with the delay as the signal, as in Vegas).
 *
 * <p>Invariants: the rate is never below {@value #MIN_RATE}. It grows only when a wanted call was denied, in slow start
 * by at most a factor of {@value #MAX_GROWTH_PER_STEP} per {@link #STEP}. It is reduced at most once per {@code STEP},
 * since all responses from one queue report the same overload. Times are nanoseconds of one clock. Not thread-safe.
 */
public final class CounterCallBudget {
    private static final double SECONDS_PER_NANO = 1e-9;
    /** Calls per second that any counter serving a fleet can handle; divided among the gateways at the start. */
    private static final double INITIAL_FLEET_RATE = 600;

    private static final double MIN_RATE = 1;
    private static final double MAX_GROWTH_PER_STEP = 1.5;
    private static final long STEP = 250_000_000L;
    private static final double SLOW_START_DECREASE = 0.5;
    private static final double DECREASE = 0.7;
    private static final double INCREASE_PER_SECOND = 0.02;
    private static final double MAX_INCREASE = 0.25;
    /** The minimum latency grows by this fraction per second, because network paths change. */
    private static final double MIN_LATENCY_DECAY_PER_SECOND = 0.02;

    private static final double SLOW_LATENCY_FACTOR = 4;

    private final long timeout;
    private final double minTokenCapacity;
    private double rate;
    private double tokens;
    private long tokensUpdatedAt;
    private long lastDecreaseAt;
    private long stepStartedAt;
    private double stepStartRate;
    private double minLatency = Double.MAX_VALUE;
    private long minLatencyAt;
    private int outstanding;
    private boolean deniedSinceIncrease;
    private long lastDeniedAt = Long.MIN_VALUE / 2;
    private boolean slowStart = true;

    /**
     * Creates a budget.
     *
     * @param gateways number of gateways that share the counter
     * @param timeout time after which a call counts as unanswered
     * @param initialFill a random number from 0 to 1 that sets the initial tokens, so that gateways don't make their
     *     first calls at the same moment
     * @param now the current time
     */
    public CounterCallBudget(int gateways, long timeout, double initialFill, long now) {
        this.timeout = timeout;
        rate = Math.max(MIN_RATE, INITIAL_FLEET_RATE / gateways);
        minTokenCapacity = 4;
        tokens = 1 + initialFill * (minTokenCapacity - 1);
        tokensUpdatedAt = now;
        lastDecreaseAt = now;
        stepStartedAt = now;
        stepStartRate = rate;
    }

    /** Returns the calls per second that are currently allowed. */
    public double rate() {
        return rate;
    }

    /** Returns whether a wanted call was denied within the last second, so that not all use has been reported. */
    public boolean recentlyDenied(long now) {
        return now - lastDeniedAt < 1_000_000_000L;
    }

    /** Returns the number of calls that have not ended. */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Takes one call from the budget if it may be made. The emptier the budget, the higher the priority must be.
     *
     * @param priority importance of the call; 1 is usual
     * @param counterSilent whether the counter does not respond; then one call per second detects its return
     */
    public boolean tryAcquire(long now, double priority, boolean counterSilent) {
        double refillRate = counterSilent ? MIN_RATE : rate;
        double tokenCapacity = Math.max(minTokenCapacity, refillRate);
        tokens = Math.min(tokenCapacity, tokens + refillRate * Math.max(0, now - tokensUpdatedAt) * SECONDS_PER_NANO);
        tokensUpdatedAt = now;
        boolean tooManyOutstanding = outstanding >= 2 + rate * timeout * SECONDS_PER_NANO;
        boolean permitted = tokens >= 1 && priority >= 2 * (1 - tokens / tokenCapacity) && !tooManyOutstanding;
        if (!permitted) {
            deniedSinceIncrease = true;
            lastDeniedAt = now;
        }
        if (permitted) {
            tokens--;
            outstanding++;
        }
        return permitted;
    }

    /** Records that a call has ended after {@code latency}; {@code totalReceived} tells whether it returned a total. */
    public void callEnded(long now, long latency, boolean totalReceived) {
        outstanding = Math.max(0, outstanding - 1);
        if (totalReceived) {
            minLatency = Math.min(
                    latency, minLatency * (1 + MIN_LATENCY_DECAY_PER_SECOND * (now - minLatencyAt) * SECONDS_PER_NANO));
            minLatencyAt = now;
        }
        boolean slow =
                !totalReceived || latency > Math.max(SLOW_LATENCY_FACTOR * minLatency, minLatency + timeout / 10.0);
        if (slow) {
            decreaseRate(now);
        } else if (deniedSinceIncrease) {
            increaseRate(now);
        }
    }

    private void decreaseRate(long now) {
        if (now - lastDecreaseAt <= STEP && !slowStart) {
            return;
        }
        // The decrease starts from the rate at the beginning of the step if the rate has grown since.
        rate = Math.max(MIN_RATE, Math.min(rate, stepStartRate) * (slowStart ? SLOW_START_DECREASE : DECREASE));
        slowStart = false;
        lastDecreaseAt = now;
        beginStep(now);
    }

    private void increaseRate(long now) {
        deniedSinceIncrease = false;
        if (now - stepStartedAt > STEP) {
            beginStep(now);
        }
        double targetRate = slowStart
                ? rate + 1
                : rate * (1 + Math.min(MAX_INCREASE, INCREASE_PER_SECOND * (now - lastDecreaseAt) * SECONDS_PER_NANO));
        rate = Math.min(targetRate, stepStartRate * MAX_GROWTH_PER_STEP);
    }

    private void beginStep(long now) {
        stepStartedAt = now;
        stepStartRate = rate;
    }
}
