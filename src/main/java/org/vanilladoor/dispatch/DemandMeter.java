package org.vanilladoor.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the rate at which work arrives for a pool, and its trend.
 *
 * <p>Work is summed in buckets of one second. Invariant: apart from the current bucket, only the
 * buckets of the last window are kept. Time is passed in as an argument. Confined to the control
 * thread.
 */
public final class DemandMeter {
    private static final long BUCKET_MILLIS = 1_000;
    private static final int WINDOW_BUCKETS = 20;
    private static final int RECENT_BUCKETS = 10;
    private static final double MAXIMUM_RELATIVE_TREND = 0.25;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private final Deque<Bucket> mBuckets = new ArrayDeque<>();

    private DemandMeter() {}

    /** Returns a meter that has not recorded any work. */
    public static DemandMeter create() {
        return new DemandMeter();
    }

    /** Adds the estimated work of an arrived call. */
    public void add(double promptTokens, double outputTokens, long nowMillis) {
        advanceTo(nowMillis);
        Bucket last = mBuckets.removeLast();
        mBuckets.addLast(new Bucket(last.index(), last.demand().plus(promptTokens, outputTokens)));
    }

    /** Returns the mean work per second over the whole window. */
    public Demand rate(long nowMillis) {
        return rate(WINDOW_BUCKETS, nowMillis);
    }

    /** Returns the work per second expected at the end of the horizon, by linear extrapolation. */
    public Demand forecast(long horizonMillis, long nowMillis) {
        Demand window = rate(WINDOW_BUCKETS, nowMillis);
        Demand recent = rate(RECENT_BUCKETS, nowMillis);
        // Distance in seconds between the midpoints of the window and of its recent part, and the
        // time from the window's midpoint to the horizon as a multiple of that distance.
        double midpointSeconds = (WINDOW_BUCKETS - RECENT_BUCKETS) / 2.0;
        double multiple =
                (horizonMillis / MILLIS_PER_SECOND + WINDOW_BUCKETS / 2.0) / midpointSeconds;
        return new Demand(
                extrapolate(window.promptTokens(), recent.promptTokens(), multiple),
                extrapolate(window.outputTokens(), recent.outputTokens(), multiple));
    }

    /** Limits the trend to a fraction of the rate, since a trend over few calls is mostly noise. */
    private static double extrapolate(double windowRate, double recentRate, double multiple) {
        double trend = (recentRate - windowRate) * multiple;
        double limit = windowRate * MAXIMUM_RELATIVE_TREND;
        return windowRate + Math.max(-limit, Math.min(limit, trend));
    }

    private Demand rate(int buckets, long nowMillis) {
        advanceTo(nowMillis);
        long current = nowMillis / BUCKET_MILLIS;
        Demand sum = Demand.NONE;
        for (Bucket bucket : mBuckets) {
            boolean complete = bucket.index() < current;
            if (complete && bucket.index() >= current - buckets) {
                sum = sum.plus(bucket.demand().promptTokens(), bucket.demand().outputTokens());
            }
        }
        double seconds = buckets * BUCKET_MILLIS / MILLIS_PER_SECOND;
        return new Demand(sum.promptTokens() / seconds, sum.outputTokens() / seconds);
    }

    private void advanceTo(long nowMillis) {
        long index = nowMillis / BUCKET_MILLIS;
        if (mBuckets.isEmpty() || mBuckets.getLast().index() < index) {
            mBuckets.addLast(new Bucket(index, Demand.NONE));
        }
        while (mBuckets.getFirst().index() < index - WINDOW_BUCKETS) {
            mBuckets.removeFirst();
        }
    }

    /** The work that arrived in one bucket of time. */
    private record Bucket(long index, Demand demand) {}
}
