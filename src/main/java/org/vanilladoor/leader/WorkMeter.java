package org.vanilladoor.leader;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how many calls of this VM are at each service's endpoints, averaged over time.
 *
 * <p>Time goes in; belongs to the control thread.
 */
public final class WorkMeter {
    private final Map<String, Line> mReading = new HashMap<>();
    private final Map<String, Line> mRunning = new HashMap<>();

    private WorkMeter() {}

    /** Returns a meter that has seen nothing. */
    public static WorkMeter create() {
        return new WorkMeter();
    }

    /** Notes that a prompt begins or ends being read apart, or to wait for that. */
    public void reading(String service, int change, long nowMillis) {
        mReading.computeIfAbsent(service, name -> new Line(nowMillis)).change(change, nowMillis);
    }

    /** Notes that a request begins or ends running. */
    public void running(String service, int change, long nowMillis) {
        mRunning.computeIfAbsent(service, name -> new Line(nowMillis)).change(change, nowMillis);
    }

    /** Returns the averages since the last call, by service. */
    public Map<String, Work> take(long nowMillis) {
        Map<String, Work> taken = new HashMap<>();
        mReading.forEach(
                (service, line) ->
                        taken.merge(service, new Work(line.take(nowMillis), 0), Work::plus));
        mRunning.forEach(
                (service, line) ->
                        taken.merge(service, new Work(0, line.take(nowMillis)), Work::plus));
        return taken;
    }

    /** The calls of one kind, summed up over time. */
    private static final class Line {
        private long mSinceMillis;
        private long mChangedMillis;
        private long mCount;
        private double mSum;

        private Line(long nowMillis) {
            mSinceMillis = nowMillis;
            mChangedMillis = nowMillis;
        }

        void change(int change, long nowMillis) {
            mSum += (double) mCount * (nowMillis - mChangedMillis);
            mChangedMillis = nowMillis;
            mCount += change;
        }

        double take(long nowMillis) {
            change(0, nowMillis);
            double average = mSum / Math.max(1, nowMillis - mSinceMillis);
            mSinceMillis = nowMillis;
            mSum = 0;
            return average;
        }
    }
}
