package org.vanilladoor.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the work that comes in for a pool, and its trend.
 *
 * <p>Invariant: sums cover the buckets of the last window only. Belongs to the control thread.
 */
public final class DemandMeter {
    private static final long BUCKET_MILLIS = 1_000;
    private static final int WINDOW_BUCKETS = 20;
    private static final int RECENT_BUCKETS = 10;
    private static final double LARGEST_TREND = 0.25;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private final Deque<Bucket> mBuckets = new ArrayDeque<>();

    private DemandMeter() {}

    /** Returns a meter that has seen nothing. */
    public static DemandMeter create() {
        return new DemandMeter();
    }

    /** Counts the work of a call. */
    public void add(double promptTokens, double outputTokens, long nowMillis) {
        roll(nowMillis);
        Bucket last = mBuckets.removeLast();
        mBuckets.addLast(new Bucket(last.index(), last.demand().plus(promptTokens, outputTokens)));
    }

    /** Returns the work per second over the whole window. */
    public Demand rate(long nowMillis) {
        return rate(WINDOW_BUCKETS, nowMillis);
    }

    /** Returns the work per second expected after the horizon, if the trend goes on. */
    public Demand forecast(long horizonMillis, long nowMillis) {
        Demand window = rate(WINDOW_BUCKETS, nowMillis);
        Demand recent = rate(RECENT_BUCKETS, nowMillis);
        // The middles of both spans lie this far apart, and the horizon this far from the latter.
        double apart = (WINDOW_BUCKETS - RECENT_BUCKETS) / 2.0;
        double ahead = (horizonMillis / MILLIS_PER_SECOND + WINDOW_BUCKETS / 2.0) / apart;
        return new Demand(
                extrapolate(window.promptTokens(), recent.promptTokens(), ahead),
                extrapolate(window.outputTokens(), recent.outputTokens(), ahead));
    }

    /** A trend over few calls is mostly noise, so it moves the rate by a limited part. */
    private static double extrapolate(double window, double recent, double ahead) {
        double trend = (recent - window) * ahead;
        double limit = window * LARGEST_TREND;
        return window + Math.max(-limit, Math.min(limit, trend));
    }

    private Demand rate(int buckets, long nowMillis) {
        roll(nowMillis);
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

    private void roll(long nowMillis) {
        long index = nowMillis / BUCKET_MILLIS;
        if (mBuckets.isEmpty() || mBuckets.getLast().index() < index) {
            mBuckets.addLast(new Bucket(index, Demand.NONE));
        }
        while (mBuckets.getFirst().index() < index - WINDOW_BUCKETS) {
            mBuckets.removeFirst();
        }
    }

    /** The work of one bucket of time. */
    private record Bucket(long index, Demand demand) {}
}
