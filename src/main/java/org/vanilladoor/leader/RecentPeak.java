package org.vanilladoor.leader;

/**
 * The largest of the values of the last 6 to 12 seconds.
 *
 * <p>An engine that changes its role and has to change back is away for two changes and the age of
 * the reports, about that time; a load that returned within it made the change useless. Time is
 * passed in as an argument. Confined to the control thread.
 */
final class RecentPeak {
    private static final long PERIOD_MILLIS = 6_000;

    private double mPrevious;
    private double mCurrent;
    private long mPeriodStartMillis = Long.MIN_VALUE / 2;

    private RecentPeak() {}

    /** Creates a peak without values. */
    static RecentPeak create() {
        return new RecentPeak();
    }

    /** Adds a value. */
    void add(double value, long nowMillis) {
        long elapsedMillis = nowMillis - mPeriodStartMillis;
        if (elapsedMillis >= PERIOD_MILLIS) {
            mPrevious = elapsedMillis < 2 * PERIOD_MILLIS ? mCurrent : 0;
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
