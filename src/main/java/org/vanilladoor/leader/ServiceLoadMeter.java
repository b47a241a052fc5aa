package org.vanilladoor.leader;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.gateway.ServiceLoadSink.Counter;
import org.vanilladoor.gateway.ServiceLoadSink.Gauge;

/**
 * Measures the load that this VM's calls put on each service's endpoints.
 *
 * <p>Time is passed in as an argument, in milliseconds of a monotonic clock. Confined to the
 * control thread.
 */
public final class ServiceLoadMeter {
    private static final double MILLIS_PER_SECOND = 1_000;
    private final Map<String, ServiceMeter> mMeters = new HashMap<>();

    private ServiceLoadMeter() {}

    /** Creates a meter without calls. */
    public static ServiceLoadMeter create() {
        return new ServiceLoadMeter();
    }

    /** Adds a change to a number of calls, or of what they need. */
    public void change(String service, Gauge gauge, long change, long nowMillis) {
        meter(service, nowMillis).average(gauge).change(change, nowMillis);
    }

    /** Adds to a number of events. */
    public void count(String service, Counter counter, long number, long nowMillis) {
        meter(service, nowMillis).mCounts.merge(counter, number, Long::sum);
    }

    /** Returns the load by service since this method was last called, and starts new averages. */
    public Map<String, ServiceLoad> takeLoads(long nowMillis) {
        Map<String, ServiceLoad> loads = new HashMap<>();
        mMeters.forEach((service, meter) -> loads.put(service, meter.takeLoad(nowMillis)));
        return loads;
    }

    private ServiceMeter meter(String service, long nowMillis) {
        return mMeters.computeIfAbsent(service, name -> new ServiceMeter(nowMillis));
    }

    /** The numbers of one service. */
    private static final class ServiceMeter {
        private final Map<Gauge, CallAverage> mAverages = new EnumMap<>(Gauge.class);
        private final Map<Counter, Long> mCounts = new EnumMap<>(Counter.class);
        private long mMeasuredSinceMillis;

        ServiceMeter(long nowMillis) {
            mMeasuredSinceMillis = nowMillis;
        }

        CallAverage average(Gauge gauge) {
            return mAverages.computeIfAbsent(gauge, key -> new CallAverage(mMeasuredSinceMillis));
        }

        ServiceLoad takeLoad(long nowMillis) {
            double seconds = Math.max(1, nowMillis - mMeasuredSinceMillis) / MILLIS_PER_SECOND;
            ServiceLoad load =
                    new ServiceLoad(
                            average(Gauge.PREFILLS).takeAverage(nowMillis),
                            average(Gauge.RUNNING).takeAverage(nowMillis),
                            new ServiceLoad.PromptFlow(
                                    average(Gauge.WAITING_PROMPTS).takeAverage(nowMillis),
                                    takeRate(Counter.ARRIVED_PROMPTS, seconds),
                                    takeRate(Counter.PREFILLED_PROMPTS, seconds),
                                    takeRate(Counter.MISSED_PROMPTS, seconds)),
                            new ServiceLoad.GenerationLoad(
                                    average(Gauge.AWAITING_FIRST_EVENT).takeAverage(nowMillis),
                                    average(Gauge.OUTPUT_TOKENS).takeAverage(nowMillis),
                                    takeRate(Counter.GENERATED_TOKENS, seconds)));
            mMeasuredSinceMillis = nowMillis;
            return load;
        }

        private double takeRate(Counter counter, double seconds) {
            Long number = mCounts.remove(counter);
            return number == null ? 0 : number / seconds;
        }
    }

    /** A number and its integral over time. */
    private static final class CallAverage {
        private long mMeasuredSinceMillis;
        private long mChangedMillis;
        private long mCount;
        private double mCallMillis;

        private CallAverage(long nowMillis) {
            mMeasuredSinceMillis = nowMillis;
            mChangedMillis = nowMillis;
        }

        void change(long change, long nowMillis) {
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
