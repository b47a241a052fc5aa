package org.vanilladoor.fleet;

/**
 * What this VM knows of the load and the failures of one endpoint.
 *
 * <p>Invariant: the number of own requests is exact; what others have there is an estimate that
 * fades. Time goes in; belongs to the control thread.
 */
final class EndpointLoad {
    /** Time after which a sample or a failure counts a third, in milliseconds. */
    private static final double FADE_MILLIS = 1_500;

    private int mOwn;
    private double mOthers;
    private long mSampledMillis;
    private double mFailures;
    private long mFailedMillis;
    private long mAvoidUntilMillis = Long.MIN_VALUE;

    void started() {
        mOwn++;
    }

    void ended() {
        mOwn--;
    }

    void sample(LoadSample sample, long nowMillis) {
        // The answer's own request has ended at the endpoint but is still counted here.
        mOthers = Math.max(0, sample.running() + sample.waiting() - Math.max(0, mOwn - 1));
        mSampledMillis = nowMillis;
    }

    void failed(long nowMillis, long avoidMillis) {
        mFailures = failures(nowMillis) + 1;
        mFailedMillis = nowMillis;
        avoid(nowMillis, avoidMillis);
    }

    void avoid(long nowMillis, long avoidMillis) {
        mAvoidUntilMillis = Math.max(mAvoidUntilMillis, nowMillis + avoidMillis);
    }

    void succeeded(long nowMillis) {
        mFailures = failures(nowMillis) / 2;
        mFailedMillis = nowMillis;
    }

    int own() {
        return mOwn;
    }

    boolean isAvoided(long nowMillis) {
        return nowMillis < mAvoidUntilMillis;
    }

    double failures(long nowMillis) {
        return mFailures * fading(nowMillis - mFailedMillis);
    }

    double requests(long nowMillis) {
        return mOwn + mOthers * fading(nowMillis - mSampledMillis);
    }

    private static double fading(long ageMillis) {
        return Math.exp(-ageMillis / FADE_MILLIS);
    }
}
