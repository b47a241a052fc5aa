package org.vanilladoor.fleet;

import org.vanilladoor.common.EventLog;

/**
 * The outstanding work of one endpoint and how long work takes there.
 *
 * <p>Invariants: the work of this VM's calls is exact with regard to what is expected of each; the
 * slowness is between {@link #MINIMUM_FACTOR} and {@link #MAXIMUM_FACTOR}. Belongs to one start of
 * the endpoint. Time is passed in as an argument. Confined to the control thread.
 */
final class EndpointCost {
    static final double MINIMUM_FACTOR = 0.125;
    static final double MAXIMUM_FACTOR = 8;

    /** Time for which a stated factor applies; it changes many times a second. */
    private static final long FACTOR_VALID_MILLIS = 300;

    /** Time in which the number of others' requests becomes the usual one, but for 1/e. */
    private static final double REPORT_DECAY_MILLIS = 500;

    /** Weight of a report in the usual number of others' requests. */
    private static final double USUAL_OTHERS_GAIN = 0.2;

    /** Weight of the service's mean in it, in reports. */
    private static final double MEAN_OTHERS_REPORTS = 2;

    /** Weight, in observations, of the stated factors before own calls have been observed. */
    private static final double STATED_OBSERVATIONS = 3;

    private final Endpoint mEndpoint;
    private final RobustMean mSlowness = RobustMean.startingAt(1);
    private final RobustMean mUsualFactor = RobustMean.startingAt(1);
    private double mFactor = 1;
    private long mFactorMillis = Long.MIN_VALUE / 2;
    private long mReportedMillis = Long.MIN_VALUE / 2;
    private double mOthers;
    private double mUsualOthers;
    private int mReports;
    private int mOwnCalls;
    private double mOwnPromptMillis;
    private double mOwnSlotMillis;
    private long mOwnTokens;
    private boolean mInvalidReportLogged;

    EndpointCost(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    /** Returns whether this belongs to the same process as the endpoint's entry. */
    boolean belongsTo(Endpoint endpoint) {
        return mEndpoint.startMillis() == endpoint.startMillis()
                && mEndpoint.role() == endpoint.role();
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    void recordLoad(LoadSample sample, long nowMillis) {
        if (sample.running() < 0 || sample.waiting() < 0) {
            logInvalidReport(sample);
            return;
        }
        // The call whose response carries the report is still counted as an own one.
        long requests = (long) sample.running() + sample.waiting();
        mOthers = Math.max(0, requests - Math.max(0, mOwnCalls - 1));
        mReportedMillis = nowMillis;
        double gain = Math.max(USUAL_OTHERS_GAIN, 1.0 / ++mReports);
        mUsualOthers += gain * (mOthers - mUsualOthers);
        if (sample.slowdown().isEmpty()) {
            return;
        }
        double factor = sample.slowdown().getAsDouble();
        if (factor < MINIMUM_FACTOR || factor > MAXIMUM_FACTOR) {
            logInvalidReport(sample);
        }
        mFactor = clamp(factor);
        mFactorMillis = nowMillis;
        mUsualFactor.observe(mFactor);
    }

    private void logInvalidReport(LoadSample sample) {
        if (!mInvalidReportLogged) {
            mInvalidReportLogged = true;
            EventLog.write(
                    "endpoints", "load.invalid", "endpoint", mEndpoint.name(), "load", sample);
        }
    }

    /** Records how long a call took, as a multiple of what was expected at normal speed. */
    void observeSlowness(double ratio) {
        mSlowness.observe(ratio);
    }

    /** Returns whether own calls have shown how long work takes here. */
    boolean isObserved() {
        return mSlowness.count() > 0;
    }

    /** Returns how long own calls have taken, as a multiple of what was expected. */
    double observedSlowness() {
        return mSlowness.value();
    }

    /**
     * Returns how long work takes here now, as a multiple of the normal time.
     *
     * @param medianSlowness the service's median of {@link #observedSlowness}
     */
    double slowness(double medianSlowness, long nowMillis) {
        double weight = mSlowness.count() / (mSlowness.count() + STATED_OBSERVATIONS);
        double usualFactor = mUsualFactor.value();
        double usual =
                Math.exp(
                        weight * Math.log(mSlowness.value() / medianSlowness)
                                + (1 - weight) * Math.log(usualFactor));
        boolean isFresh = nowMillis - mFactorMillis <= FACTOR_VALID_MILLIS;
        return clamp(isFresh ? usual * mFactor / usualFactor : usual);
    }

    private static double clamp(double factor) {
        return Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, factor));
    }

    /** Returns the mean number of other VMs' requests in the last reports. */
    double usualOthers() {
        return mUsualOthers;
    }

    long reportAgeMillis(long nowMillis) {
        return nowMillis - mReportedMillis;
    }

    /**
     * Returns the estimated number of other VMs' requests.
     *
     * @param meanOthers mean number of others' requests at the service's endpoints
     */
    double others(double meanOthers, long nowMillis) {
        double usual =
                (mReports * mUsualOthers + MEAN_OTHERS_REPORTS * meanOthers)
                        / (mReports + MEAN_OTHERS_REPORTS);
        double weight = Math.exp(-reportAgeMillis(nowMillis) / REPORT_DECAY_MILLIS);
        return usual + weight * (mOthers - usual);
    }

    void addCall(double promptMillis, double slotMillis, long tokens) {
        mOwnCalls++;
        mOwnTokens += tokens;
        addWork(promptMillis, slotMillis);
    }

    void addWork(double promptMillis, double slotMillis) {
        mOwnPromptMillis += promptMillis;
        mOwnSlotMillis += slotMillis;
    }

    void removeCall(double promptMillis, double slotMillis, long tokens) {
        mOwnCalls--;
        mOwnTokens -= tokens;
        addWork(-promptMillis, -slotMillis);
        if (mOwnCalls == 0) {
            // Sums of fractions don't return to exactly 0.
            mOwnPromptMillis = 0;
            mOwnSlotMillis = 0;
        }
    }

    int ownCalls() {
        return mOwnCalls;
    }

    double ownPromptMillis() {
        return mOwnPromptMillis;
    }

    double ownSlotMillis() {
        return mOwnSlotMillis;
    }

    long ownTokens() {
        return mOwnTokens;
    }
}
