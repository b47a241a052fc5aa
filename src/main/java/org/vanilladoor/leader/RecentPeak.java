package org.vanilladoor.leader;

/**
 * The largest of the values of the last one to two periods.
 *
 * <p>Time is passed in as an argument. Confined to the control thread.
 */
final class RecentPeak {
    private final long mPeriodMillis;
    private double mPrevious;
    private double mCurrent;
    private long mPeriodStartMillis = Long.MIN_VALUE / 2;

    private RecentPeak(long periodMillis) {
        mPeriodMillis = periodMillis;
    }

    /** Creates a peak without values. */
    static RecentPeak create(long periodMillis) {
        return new RecentPeak(periodMillis);
    }

    /** Adds a value. */
    void add(double value, long nowMillis) {
        long elapsedMillis = nowMillis - mPeriodStartMillis;
        if (elapsedMillis >= mPeriodMillis) {
            mPrevious = elapsedMillis < 2 * mPeriodMillis ? mCurrent : 0;
            mCurrent = 0;
            mPeriodStartMillis = nowMillis;
        }
        mCurrent = Math.max(mCurrent, value);
    }

    /** Returns the largest value. */
    double peak() {
        return Math.max(mPrevious, mCurrent);
    }
}
