package org.vanilladoor.leader;

/**
 * Estimates how many prefill engines the prompts of the next seconds need, from the prompts that
 * arrive, wait, are prefilled and are missed.
 *
 * <p>The prompts that an engine prefills per second are learned, since engines and prompts differ
 * by deployment. Invariant: the rate is learned only while the number of engines has not changed
 * for the age of a report, so that it is never divided by another number of engines than the one
 * that did the work. Time is passed in as an argument. Confined to the control thread.
 */
final class PrefillDemand {
    /** Longest age of a report: 4 s between reports and 1 s between listings. */
    private static final long REPORT_AGE_MILLIS = 5_000;

    /** Time constant of the average of the learned rate; a few reports. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 10_000;

    /** Fewer prompts per second say little about the rate that an engine can reach. */
    private static final double MINIMUM_PREFILLED_PER_SECOND = 1;

    /** Prompts waiting per engine from which on the engines have been busy all the time. */
    private static final double SATURATED_WAITING = 0.5;

    /** Share of the arriving prompts that may be missed by chance, without a lack of engines. */
    private static final double TOLERATED_MISSES = 0.02;

    private static final double MILLIS_PER_SECOND = 1_000;
    private double mPromptsPerEngineSecond;
    private boolean mIsProvisional = true;
    private int mEngines;
    private long mEnginesSinceMillis = Long.MIN_VALUE / 2;
    private long mLearnedMillis;

    private PrefillDemand() {}

    /** Creates an estimate without observations. */
    static PrefillDemand create() {
        return new PrefillDemand();
    }

    /**
     * Learns the rate of an engine.
     *
     * @param engines number of engines that prefill now, without those that change their role
     */
    void observe(ServiceLoad load, int engines, long nowMillis) {
        if (engines != mEngines) {
            mEngines = engines;
            mEnginesSinceMillis = nowMillis;
        }
        boolean isKnown = load.prompts().prefilled() >= MINIMUM_PREFILLED_PER_SECOND;
        if (engines == 0 || !isKnown || load.prefilling() <= 0) {
            return;
        }
        double latest = load.prompts().prefilled() / engines / utilization(load, engines);
        boolean isStable = nowMillis - mEnginesSinceMillis >= REPORT_AGE_MILLIS;
        if (isStable) {
            double weight = 1 - Math.exp((mLearnedMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
            mPromptsPerEngineSecond +=
                    (latest - mPromptsPerEngineSecond) * (mIsProvisional ? 1 : weight);
            mIsProvisional = false;
            mLearnedMillis = nowMillis;
        } else if (mIsProvisional) {
            mPromptsPerEngineSecond = latest;
        }
    }

    /**
     * Returns the share of the time in which the engines were busy. Without waiting prompts, it
     * follows from the mean number of prompts at an engine: a queue with random arrivals and work
     * of equal size has r + r * r / (2 * (1 - r)) in it if it is busy for the share r of the time.
     */
    private static double utilization(ServiceLoad load, int engines) {
        if (load.prompts().waiting() >= SATURATED_WAITING * engines) {
            return 1;
        }
        double promptsPerEngine = load.prefilling() / engines;
        return 1 + promptsPerEngine - Math.sqrt(1 + promptsPerEngine * promptsPerEngine);
    }

    /**
     * Returns the number of engines that would be busy all the time if they prefilled what arrives
     * and, within a time, what waits; 0 as long as the rate of an engine is unknown. If it is at
     * most the number of engines, they clear the queue within that time.
     */
    double neededEngines(ServiceLoad load, long clearMillis) {
        if (mPromptsPerEngineSecond <= 0) {
            return 0;
        }
        double clearedPerSecond =
                load.prompts().waiting() * MILLIS_PER_SECOND / Math.max(1, clearMillis);
        return (load.prompts().arriving() + clearedPerSecond) / mPromptsPerEngineSecond;
    }

    /** Returns whether so many prompts miss their objective that engines are lacking. */
    static boolean isMissing(ServiceLoad load) {
        ServiceLoad.PromptFlow prompts = load.prompts();
        return prompts.missed() > TOLERATED_MISSES * prompts.arriving();
    }

    /** Returns the prompts that one engine prefills per second; 0 if unknown. */
    double promptsPerEngineSecond() {
        return mPromptsPerEngineSecond;
    }
}
