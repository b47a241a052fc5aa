package org.vanilladoor.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.vanilladoor.engine.EngineRole;

/**
 * What has been learned of the work of one service's requests and of its endpoints.
 *
 * <p>Invariant: all times are those of an endpoint whose slowness is the service's median. Time is
 * passed in as an argument. Confined to the control thread.
 */
final class ServiceCosts {
    /** Time that each call takes in addition to the endpoint's work. */
    static final double OVERHEAD_MILLIS = 2;

    /** Additional time of a call to another failure domain: its latency in both directions. */
    static final double DISTANCE_MILLIS = 2;

    private static final double FIRST_PROMPT_TOKEN_MILLIS = 1 / 200.0;

    /** An engine in the decode role prefills at half the speed. */
    private static final double DECODE_PROMPT_FACTOR = 2;

    private static final double MIXED_PROMPT_FACTOR = 1.6;
    private static final double FIRST_NEAR_FETCH_TOKEN_MILLIS = 0.002;
    private static final double FIRST_FAR_FETCH_TOKEN_MILLIS = 0.003;
    private static final double FIRST_OUTPUT_TOKEN_MILLIS = 1;
    private static final double FIRST_DURATION_MILLIS = 30;

    /** Age from which on a report says nothing about the service's mean load. */
    private static final long REPORT_VALID_MILLIS = 5_000;

    /** Interval between updates of the median and of the mean load. */
    private static final long SUMMARY_INTERVAL_MILLIS = 100;

    private final Map<EngineRole, RobustMean> mPromptTokenMillis = new EnumMap<>(EngineRole.class);
    private final RobustMean mNearFetchTokenMillis =
            RobustMean.startingAt(FIRST_NEAR_FETCH_TOKEN_MILLIS);
    private final RobustMean mFarFetchTokenMillis =
            RobustMean.startingAt(FIRST_FAR_FETCH_TOKEN_MILLIS);
    private final RobustMean mOutputTokenMillis = RobustMean.startingAt(FIRST_OUTPUT_TOKEN_MILLIS);
    private final Map<String, RobustMean> mDurationMillis = new HashMap<>();
    private final Map<String, OutputLength> mOutputLengths = new HashMap<>();
    private final Map<String, EndpointCost> mEndpoints = new HashMap<>();
    private final MeanWork mPrefillWork = new MeanWork();
    private final MeanWork mRunWork = new MeanWork();
    private final PrefixUse mPrefixUse = PrefixUse.create();
    private boolean mStatesFactor;
    private double mMedianSlowness = 1;
    private long mSummaryMillis = Long.MIN_VALUE / 2;

    ServiceCosts() {
        mPromptTokenMillis.put(
                EngineRole.PREFILL, RobustMean.startingAt(FIRST_PROMPT_TOKEN_MILLIS));
        mPromptTokenMillis.put(
                EngineRole.DECODE,
                RobustMean.startingAt(FIRST_PROMPT_TOKEN_MILLIS * DECODE_PROMPT_FACTOR));
        mPromptTokenMillis.put(
                EngineRole.MIXED,
                RobustMean.startingAt(FIRST_PROMPT_TOKEN_MILLIS * MIXED_PROMPT_FACTOR));
    }

    /** Returns whether an endpoint of the service has stated how long work takes there. */
    boolean statesFactor() {
        return mStatesFactor;
    }

    EndpointCost endpoint(Endpoint endpoint) {
        EndpointCost known = mEndpoints.get(endpoint.name());
        if (known == null || !known.belongsTo(endpoint)) {
            known = new EndpointCost(endpoint);
            mEndpoints.put(endpoint.name(), known);
        }
        return known;
    }

    void removeUnlisted(Predicate<String> isListed) {
        mEndpoints
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().ownCalls() == 0 && !isListed.test(entry.getKey()));
    }

    void recordLoad(Endpoint endpoint, LoadSample sample, long nowMillis) {
        mStatesFactor |= sample.slowdown().isPresent();
        endpoint(endpoint).recordLoad(sample, nowMillis);
    }

    PrefixUse prefixUse() {
        return mPrefixUse;
    }

    /**
     * Returns the expected work of a call at an endpoint.
     *
     * @param heldTokens tokens of the prompt that the endpoint is likely to hold
     * @param isCacheNear whether the KV cache to fetch is in the endpoint's failure domain
     */
    ExpectedWork expect(
            RequestProfile request,
            Endpoint endpoint,
            WorkPhase phase,
            double heldTokens,
            boolean isCacheNear) {
        if (!request.hasPrompt()) {
            return new ExpectedWork(0, 0, 0, duration(request.route()).value(), false);
        }
        double promptTokens =
                phase == WorkPhase.RUN_WITH_CACHE
                        ? 0
                        : Math.max(1, request.promptTokens() - heldTokens);
        double fetchMillis =
                phase == WorkPhase.RUN_WITH_CACHE
                        ? request.promptTokens() * fetchTokenMillis(isCacheNear).value()
                        : 0;
        double outputMillis =
                phase == WorkPhase.PREFILL
                        ? 0
                        : outputLength(request.route()).expect(request)
                                * mOutputTokenMillis.value();
        return new ExpectedWork(
                promptTokens,
                promptTokens * mPromptTokenMillis.get(endpoint.role()).value(),
                fetchMillis,
                outputMillis,
                phase != WorkPhase.PREFILL);
    }

    RobustMean fetchTokenMillis(boolean isNear) {
        return isNear ? mNearFetchTokenMillis : mFarFetchTokenMillis;
    }

    RobustMean promptTokenMillis(EngineRole role) {
        return mPromptTokenMillis.get(role);
    }

    RobustMean outputTokenMillis() {
        return mOutputTokenMillis;
    }

    RobustMean duration(String route) {
        return mDurationMillis.computeIfAbsent(
                route, key -> RobustMean.startingAt(FIRST_DURATION_MILLIS));
    }

    OutputLength outputLength(String route) {
        return mOutputLengths.computeIfAbsent(route, key -> new OutputLength());
    }

    /** Returns the mean work of the calls to endpoints of the given kind. */
    MeanWork meanWork(boolean isPrefillEngine) {
        return isPrefillEngine ? mPrefillWork : mRunWork;
    }

    double medianSlowness() {
        return mMedianSlowness;
    }

    /** Updates the median slowness and the mean load, unless that was done shortly before. */
    void updateSummary(long nowMillis) {
        if (nowMillis - mSummaryMillis < SUMMARY_INTERVAL_MILLIS || mEndpoints.isEmpty()) {
            return;
        }
        mSummaryMillis = nowMillis;
        double[] slowness =
                mEndpoints.values().stream()
                        .filter(EndpointCost::isObserved)
                        .mapToDouble(EndpointCost::observedSlowness)
                        .sorted()
                        .toArray();
        mMedianSlowness = slowness.length == 0 ? 1 : slowness[slowness.length / 2];
        for (boolean isPrefillEngine : new boolean[] {false, true}) {
            meanWork(isPrefillEngine).mOthers =
                    mEndpoints.values().stream()
                            .filter(cost -> isPrefillEngine(cost.endpoint()) == isPrefillEngine)
                            .filter(cost -> cost.reportAgeMillis(nowMillis) < REPORT_VALID_MILLIS)
                            .mapToDouble(EndpointCost::usualOthers)
                            .average()
                            .orElse(0);
        }
    }

    static boolean isPrefillEngine(Endpoint endpoint) {
        return endpoint.role() == EngineRole.PREFILL;
    }

    /** The mean work of a call, and the mean number of other VMs' calls at an endpoint. */
    static final class MeanWork {
        private static final double GAIN = 0.05;
        private boolean mHasWork;
        private double mPromptMillis;
        private double mSlotMillis;
        private double mTokens;
        private double mOthers;

        void add(double promptMillis, double slotMillis, long tokens) {
            double gain = mHasWork ? GAIN : 1;
            mHasWork = true;
            mPromptMillis += gain * (promptMillis - mPromptMillis);
            mSlotMillis += gain * (slotMillis - mSlotMillis);
            mTokens += gain * (tokens - mTokens);
        }

        double promptMillis() {
            return mPromptMillis;
        }

        double slotMillis() {
            return mSlotMillis;
        }

        double tokens() {
            return mTokens;
        }

        double others() {
            return mOthers;
        }
    }
}
