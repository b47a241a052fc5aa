package org.vanilladoor.fleet;

import java.util.OptionalLong;

/**
 * The load, the recent failures and the notices of one endpoint, as known to this VM.
 *
 * <p>Invariant: the number of this VM's requests is exact; the number of other VMs' requests is an
 * estimate that decays exponentially, as does the number of failures. Time is passed in as an
 * argument. Confined to the control thread.
 */
final class EndpointLoad {
    /** Time after which a load sample or a failure has decayed to 1/e, about a third, in ms. */
    private static final double DECAY_MILLIS = 1_500;

    /** Each success divides the number of recent failures by this. */
    private static final int FAILURE_DIVISOR_ON_SUCCESS = 2;

    /** Time for which an endpoint is avoided after its first response without end. */
    private static final long MINIMUM_AVOIDANCE_MILLIS = 1_000;

    /** Longest time for which it is avoided after further ones. */
    private static final long MAXIMUM_AVOIDANCE_MILLIS = 16_000;

    /** Time without such a response after which earlier ones do not count. */
    private static final long ENDLESS_MEMORY_MILLIS = 30_000;

    private int mOwnRequests;
    private double mOthersRequests;
    private long mLoadRecordedMillis;
    private double mFailures;
    private long mFailuresUpdatedMillis;
    private long mAvoidUntilMillis = Long.MIN_VALUE;
    private long mAvoidanceMillis;
    private long mAvoidanceEndMillis = Long.MIN_VALUE / 2;
    private long mExcludeUntilMillis = Long.MIN_VALUE;
    private long mPausedUntilMillis = Long.MIN_VALUE;
    private OptionalLong mLeavingStartMillis = OptionalLong.empty();

    void recordStart() {
        mOwnRequests++;
    }

    void recordEnd() {
        mOwnRequests--;
    }

    void recordLoad(LoadSample sample, long nowMillis) {
        // The request whose response carried the sample has ended at the endpoint but is still
        // counted in mOwnRequests.
        mOthersRequests =
                Math.max(0, sample.running() + sample.waiting() - Math.max(0, mOwnRequests - 1));
        mLoadRecordedMillis = nowMillis;
    }

    void recordFailure(long nowMillis, long avoidMillis) {
        mFailures = failures(nowMillis) + 1;
        mFailuresUpdatedMillis = nowMillis;
        avoidFor(nowMillis, avoidMillis);
    }

    void avoidFor(long nowMillis, long durationMillis) {
        mAvoidUntilMillis = Math.max(mAvoidUntilMillis, nowMillis + durationMillis);
    }

    /**
     * Records a response without end and avoids the endpoint, each time for twice as long; further
     * ones that arrive meanwhile were requested before.
     */
    void recordEndless(long nowMillis) {
        if (nowMillis < mAvoidanceEndMillis) {
            return;
        }
        boolean isFirst = nowMillis - mAvoidanceEndMillis > ENDLESS_MEMORY_MILLIS;
        mAvoidanceMillis =
                isFirst
                        ? MINIMUM_AVOIDANCE_MILLIS
                        : Math.min(2 * mAvoidanceMillis, MAXIMUM_AVOIDANCE_MILLIS);
        mAvoidanceEndMillis = nowMillis + mAvoidanceMillis;
        avoidFor(nowMillis, mAvoidanceMillis);
    }

    void excludeFor(long nowMillis, long durationMillis) {
        mExcludeUntilMillis = Math.max(mExcludeUntilMillis, nowMillis + durationMillis);
    }

    void pauseFor(long nowMillis, long durationMillis) {
        mPausedUntilMillis = Math.max(mPausedUntilMillis, nowMillis + durationMillis);
    }

    /** Records that the process that started at the given time is leaving. */
    void recordLeaving(long startMillis) {
        mLeavingStartMillis = OptionalLong.of(startMillis);
    }

    void recordSuccess(long nowMillis) {
        mFailures = failures(nowMillis) / FAILURE_DIVISOR_ON_SUCCESS;
        mFailuresUpdatedMillis = nowMillis;
    }

    int ownRequests() {
        return mOwnRequests;
    }

    boolean isExcluded(long nowMillis) {
        return nowMillis < mExcludeUntilMillis;
    }

    /** Returns the time until the endpoint wants requests again, or 0. */
    long pauseMillis(long nowMillis) {
        return nowMillis < mPausedUntilMillis ? mPausedUntilMillis - nowMillis : 0;
    }

    boolean isLeaving(long startMillis) {
        return mLeavingStartMillis.equals(OptionalLong.of(startMillis));
    }

    boolean isAvoided(long nowMillis) {
        return nowMillis < mAvoidUntilMillis;
    }

    double failures(long nowMillis) {
        return mFailures * decayFactor(nowMillis - mFailuresUpdatedMillis);
    }

    double requests(long nowMillis) {
        return mOwnRequests + mOthersRequests * decayFactor(nowMillis - mLoadRecordedMillis);
    }

    private static double decayFactor(long ageMillis) {
        return Math.exp(-ageMillis / DECAY_MILLIS);
    }
}
