package org.vanilladoor.leader;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures the average number of this VM's calls at each service's endpoints.
 *
 * <p>Time is passed in as an argument, in milliseconds of a monotonic clock. Confined to the
 * control thread.
 */
public final class ServiceLoadMeter {
    private final Map<String, CallAverage> mPrefilling = new HashMap<>();
    private final Map<String, CallAverage> mRunning = new HashMap<>();

    private ServiceLoadMeter() {}

    /** Creates a meter without calls. */
    public static ServiceLoadMeter create() {
        return new ServiceLoadMeter();
    }

    /** Adds the change to the number of prompts that wait for or are in separate prefill. */
    public void changePrefilling(String service, int change, long nowMillis) {
        mPrefilling
                .computeIfAbsent(service, name -> new CallAverage(nowMillis))
                .change(change, nowMillis);
    }

    /** Adds the change to the number of running requests. */
    public void changeRunning(String service, int change, long nowMillis) {
        mRunning.computeIfAbsent(service, name -> new CallAverage(nowMillis))
                .change(change, nowMillis);
    }

    /** Returns the averages by service since this method was last called, and starts new ones. */
    public Map<String, ServiceLoad> takeAverages(long nowMillis) {
        Map<String, ServiceLoad> loads = new HashMap<>();
        mPrefilling.forEach(
                (service, average) ->
                        loads.merge(
                                service,
                                new ServiceLoad(average.takeAverage(nowMillis), 0),
                                ServiceLoad::plus));
        mRunning.forEach(
                (service, average) ->
                        loads.merge(
                                service,
                                new ServiceLoad(0, average.takeAverage(nowMillis)),
                                ServiceLoad::plus));
        return loads;
    }

    /** The number of calls of one kind and its integral over time. */
    private static final class CallAverage {
        private long mMeasuredSinceMillis;
        private long mChangedMillis;
        private long mCount;
        private double mCallMillis;

        private CallAverage(long nowMillis) {
            mMeasuredSinceMillis = nowMillis;
            mChangedMillis = nowMillis;
        }

        void change(int change, long nowMillis) {
            mCallMillis += (double) mCount * (nowMillis - mChangedMillis);
            mChangedMillis = nowMillis;
            mCount += change;
        }

        double takeAverage(long nowMillis) {
            change(0, nowMillis);
            double averageCalls = mCallMillis / Math.max(1, nowMillis - mMeasuredSinceMillis);
            mMeasuredSinceMillis = nowMillis;
            mCallMillis = 0;
            return averageCalls;
        }
    }
}
