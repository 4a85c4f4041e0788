package thistlefall.quota;

/**
 * One gateway's estimate of one customer's quota, which all gateways share. The quota fills at the plan's rate up to
 * its burst. Own use lowers the estimate at once. The use of the other gateways is predicted from their last rate and
 * corrected when a report from the counter arrives. When no report arrives for a window, the quota is divided among the
 * gateways.
 *
 * <p>Times are nanoseconds of one clock. Not thread-safe.
 */
public final class QuotaEstimate {
    private static final double SECONDS_PER_NANO = 1e-9;
    /** Time constant of the averages of the own rate and the others' rate. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 3;
    /** A report over a shorter time would give a random rate. */
    private static final double MIN_INTERVAL_SECONDS = 0.05;

    /** Fraction of the plan's rate that is assumed to be unreported use, equally likely at any gateway. */
    private static final double UNREPORTED_USE_FRACTION = 0.3;
    /** Fraction of the burst that is assumed to be used up when the others use the full rate. */
    private static final double BUSY_USED_FRACTION = 0.8;

    /**
     * Up to this number of gateways, {@code BUSY_USED_FRACTION} is not applied, because they get enough reports of each
     * other.
     */
    private static final double FEW_GATEWAYS = 3;
    /** Multiple of the plan's rate above which the others' use is assumed to have come in a burst and not evenly. */
    private static final double EVEN_USE_LIMIT = 1.1;

    private final double rate;
    private final double burst;
    private final int gateways;
    private final double largestRequest;
    private final long windowDuration;
    private double units;
    /** Units already taken for requests that have not been sent yet. */
    private double waitingUnits;

    private double othersRate;
    private double ownRate;
    /** Use of the others predicted since the last report. */
    private double predictedUse;
    /** Units gained beyond the burst since the last report. */
    private double unitsLostAtBurst;
    /**
     * Predicted use of the others between the last report and the end of the previous window; 0 after that use has been
     * reported.
     */
    private double predictedWindowEndUse;

    private long refilledAt;
    private long lastUpdate;
    private boolean isolated;
    /** Whether the last report covered all use. */
    private boolean lastReportComplete;

    /**
     * Creates an estimate of a full quota without any report.
     *
     * @param rate units per second that the quota gains
     * @param burst the most units that the quota holds
     * @param gateways number of gateways that share the quota
     * @param largestRequest the largest request, in units
     * @param windowDuration the duration of a counter window
     * @param refillStart the time since which the quota fills
     * @param now the current time
     */
    public QuotaEstimate(
            double rate,
            double burst,
            int gateways,
            double largestRequest,
            long windowDuration,
            long refillStart,
            long now) {
        this.rate = rate;
        this.burst = burst;
        this.gateways = gateways;
        this.largestRequest = largestRequest;
        this.windowDuration = windowDuration;
        units = burst;
        refilledAt = refillStart;
        lastUpdate = now - 2 * windowDuration;
    }

    /** Returns the estimated units in the quota; negative after overuse. */
    public double units() {
        return units;
    }

    /** Returns the time of the last report. */
    public long lastUpdate() {
        return lastUpdate;
    }

    /** Returns whether the estimate covers only this gateway's share, because no report has arrived. */
    public boolean isIsolated() {
        return isolated;
    }

    /** Returns when the quota will be full without further use; {@code now} if it is full. */
    public long fullAt(long now) {
        return units >= burst || rate <= 0 ? now : now + (long) Math.ceil((burst - units) / rate / SECONDS_PER_NANO);
    }

    /** Lowers a new estimate to that of a quota that will be full at {@code time}, which may have passed. */
    public void assumeFullAt(long now, long time) {
        if (time > now) {
            units = Math.min(units, Math.max(-largestRequest, burst - rate * (time - now) * SECONDS_PER_NANO));
            refilledAt = now;
        }
    }

    /** Records use by this gateway; a negative amount returns units. */
    public void spend(double amount) {
        units -= amount;
        ownRate += amount / RATE_TIME_CONSTANT_SECONDS;
    }

    /**
     * Changes by how much has been taken for requests that wait to be sent. As long as they wait, their units fill
     * their place in the quota: nothing accrues in it, as nothing would in a quota that is full.
     */
    public void changeWaiting(double amount) {
        waitingUnits = Math.max(0, waitingUnits + amount);
    }

    /** The most units that the quota can hold beside those that wait. */
    private double capacity() {
        return burst - waitingUnits;
    }

    /**
     * Returns the share of the quota that this gateway may spend without reports. It is the gateway's share of the
     * customer's use as of the last report, including an equal share of assumed unreported use. If the last report was
     * incomplete, it is one divided by the number of gateways. The shares of gateways with the same reports add up to
     * one.
     */
    private double ownShare() {
        if (!lastReportComplete) {
            return 1.0 / gateways;
        }
        double unreportedRate = UNREPORTED_USE_FRACTION * rate;
        return (ownRate + unreportedRate / gateways) / (ownRate + othersRate + unreportedRate);
    }

    /** Returns the units that the others are expected to use within a duration without reports. */
    public double expectedOthersUse(long duration) {
        return othersRate * duration * SECONDS_PER_NANO;
    }

    /** Returns whether the estimate is below {@code margin} only because of the predicted use of the others. */
    public boolean dependsOnPrediction(long now, double margin) {
        return units < margin && units + predictedUse >= 0 && now > lastUpdate;
    }

    /** Advances to {@code now}. The others are predicted to keep their last rate, or to use their share if isolated. */
    public void refill(long now) {
        double seconds = (now - refilledAt) * SECONDS_PER_NANO;
        refilledAt = now;
        ownRate *= Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
        double othersUse = seconds * (isolated ? rate * (1 - ownShare()) : Math.min(rate, othersRate));
        predictedUse += othersUse;
        units += seconds * rate - othersUse;
        unitsLostAtBurst += Math.max(0, units - burst);
        units = Math.min(capacity(), units);
    }

    /**
     * Reduces the estimate to this gateway's share, but not below one request, as otherwise rare requests would all
     * fail.
     */
    public void divideAmongGateways() {
        if (!isolated && units > 0) {
            units = Math.max(units * ownShare(), Math.min(units, largestRequest));
        }
        isolated = true;
    }

    /** Records that a new window began, and saves the use predicted between the last report and {@code windowStart}. */
    public void windowEnded(long now, long windowStart) {
        predictedWindowEndUse = predictedUse * Math.max(0, windowStart - lastUpdate) / Math.max(1, now - lastUpdate);
    }

    /** Replaces the predicted use at the end of the previous window with the reported one. */
    public void correctLastWindow(double reportedUse) {
        units = Math.max(Math.min(capacity(), units - (reportedUse - predictedWindowEndUse)), -largestRequest);
        predictedWindowEndUse = 0;
    }

    /**
     * Applies a report of the current window.
     *
     * @param reportedUse the others' use since the last report
     * @param reportedFraction the fraction of all use that is reported, above 0 and at most 1
     * @param windowStart when the window began
     * @param ownUse this gateway's use in the window
     */
    public void update(long now, double reportedUse, double reportedFraction, long windowStart, double ownUse) {
        if (now - lastUpdate > windowDuration) {
            // The estimate is too old: a full quota less this window's total is more accurate. If the others' use is
            // close to the rate, the quota is not full at the start of a window; many gateways that all assumed a full
            // one would grant a burst in each window.
            double busyLevel = Math.pow(Math.min(1, othersRate / rate), 4) * Math.max(0, 1 - FEW_GATEWAYS / gateways);
            units = burst * (1 - BUSY_USED_FRACTION * busyLevel) - ownUse;
            predictedUse = 0;
        }
        isolated = false;
        lastReportComplete = reportedFraction >= 1;
        long intervalStart = Math.max(lastUpdate, windowStart);
        // The prediction for the end of the previous window is kept until that end is reported.
        predictedUse *= (now - intervalStart) / (double) Math.max(1, now - lastUpdate);
        double seconds = Math.max(MIN_INTERVAL_SECONDS, (now - intervalStart) * SECONDS_PER_NANO);
        lastUpdate = now;
        double othersUse = reportedUse / reportedFraction;
        double observedRate = Math.max(0, Math.min(othersUse / seconds, 2 * rate));
        othersRate += (1 - Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS)) * (observedRate - othersRate);
        // If the predicted use was too low, the quota reached its burst too early and lost units. If the interval was
        // shorter than a window, more than 0.8 of the use was reported and the others' rate is below 1.1 times the
        // plan's, the use is assumed to have been even, and the lost units are added back. Otherwise all use may have
        // come at the end of the interval.
        double correction = othersUse - predictedUse;
        if (seconds < windowDuration * SECONDS_PER_NANO
                && reportedFraction > 0.8
                && othersRate < EVEN_USE_LIMIT * rate) {
            correction -= Math.max(0, Math.min(unitsLostAtBurst, correction));
        }
        // Requests sent beyond the quota take no units from it, so the estimate is kept at or above minus one largest
        // request.
        units = Math.max(Math.min(capacity(), units - correction), -largestRequest);
        predictedUse = 0;
        unitsLostAtBurst = 0;
    }
}
