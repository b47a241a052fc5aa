package org.vanilladoor.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.engine.PrefixCache;
import org.vanilladoor.provider.EndpointDescription;

/**
 * The state of one endpoint as known to this process.
 *
 * <p>Invariant: the counts of this process's own work are never negative. The work of other
 * processes is estimated from load reports, which lag. Time is passed in as an argument. Confined
 * to the control thread.
 */
final class EndpointState {
    private static final double PREFILL_RATE_SMOOTHING = 0.1;
    private static final int DEFAULT_MAXIMUM_STREAMS = 16;
    private static final int MAXIMUM_CACHED_BLOCKS = 4_096;
    private static final int FAILURES_UNTIL_AVOIDED = 3;
    private static final long AVOID_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Age at which the weight of a report has decayed to 1/e; about the duration of a stream. */
    private static final double REPORT_DECAY_MILLIS = 2_000;

    private EndpointDescription mDescription;
    private EngineRole mRole = EngineRole.MIXED;
    private boolean mChanging;
    private boolean mLeaving;
    private boolean mDrained;
    private int mMaximumStreams = DEFAULT_MAXIMUM_STREAMS;
    private int mReportedRequests;
    private long mReportedPromptTokens;
    private double mReportWeight = 1;
    private int mOthersRequests;
    private long mOthersPromptTokens;
    private double mBestPrefillRate = EngineProfile.standard().prefillTokensPerSecond();
    private int mFailures;
    private long mAvoidUntilMillis = Long.MIN_VALUE;
    private final PrefixCache mCachedPrefixes = PrefixCache.create(MAXIMUM_CACHED_BLOCKS);
    private final Map<String, Work> mPrefills = new HashMap<>();
    private final Map<String, Work> mStreams = new HashMap<>();

    private EndpointState(EndpointDescription description) {
        mDescription = description;
        mLeaving = description.leaving();
    }

    static EndpointState of(EndpointDescription description) {
        return new EndpointState(description);
    }

    void updateDescription(EndpointDescription description) {
        mDescription = description;
        mLeaving = mLeaving || description.leaving();
    }

    /** Records a load report; {@link #estimateOthers} updates the estimates from it. */
    void recordReport(LoadReport report, long ageMillis) {
        if (report.role() != mRole || report.changing()) {
            mCachedPrefixes.clear();
        }
        mRole = report.role();
        mChanging = report.changing();
        mLeaving = mLeaving || report.leaving();
        mMaximumStreams = Math.max(1, report.maximumStreams());
        mReportedRequests = report.requests();
        mReportedPromptTokens = report.waitingPromptTokens();
        mReportWeight = Math.exp(-Math.max(0, ageMillis) / REPORT_DECAY_MILLIS);
    }

    /**
     * Estimates the work of other processes as a mean of this endpoint's report and the average
     * over the endpoints of the same pool and role; the older the report, the less it weighs.
     * Without the average, all processes would send their work to the one engine that the same
     * outdated report shows as idle.
     */
    void estimateOthers(double meanRequests, double meanPromptTokens) {
        double requests = estimate(mReportedRequests, ownRequests(), meanRequests);
        double tokens = estimate(mReportedPromptTokens, ownPromptTokens(), meanPromptTokens);
        mOthersRequests = (int) Math.round(requests);
        mOthersPromptTokens = Math.round(tokens);
    }

    private double estimate(double reported, double own, double mean) {
        return Math.max(0, mean + mReportWeight * (reported - own - mean));
    }

    int reportedRequests() {
        return mReportedRequests;
    }

    long reportedPromptTokens() {
        return mReportedPromptTokens;
    }

    void setDrained(boolean drained) {
        mDrained = drained;
    }

    void markLeaving() {
        mLeaving = true;
    }

    void recordPrefillStart(Call call, long nowMillis) {
        int cached = cachedTokens(call);
        boolean ranAlone = mPrefills.isEmpty() && mOthersPromptTokens == 0;
        int tokens = Math.max(1, call.promptTokens() - cached);
        mPrefills.put(call.identifier(), new Work(tokens, nowMillis, ranAlone));
        mCachedPrefixes.add(call.blocks());
    }

    void recordPrefillEnd(Call call, long nowMillis) {
        Work work = mPrefills.remove(call.identifier());
        if (work == null || !work.ranAlone() || !mDescription.engine()) {
            return;
        }
        double seconds = Math.max(1, nowMillis - work.startMillis()) / MILLIS_PER_SECOND;
        if (work.tokens() >= EngineProfile.TOKENS_PER_BLOCK) {
            double observedRate = work.tokens() / seconds / mRole.prefillSpeedFactor();
            mBestPrefillRate += PREFILL_RATE_SMOOTHING * (observedRate - mBestPrefillRate);
        }
    }

    void recordStreamStart(Call call, long nowMillis) {
        mStreams.put(call.identifier(), new Work(call.outputTokens(), nowMillis, false));
    }

    void recordStreamEnd(Call call) {
        mPrefills.remove(call.identifier());
        mStreams.remove(call.identifier());
    }

    void recordSuccess() {
        mFailures = 0;
    }

    void recordFailure(long nowMillis) {
        mFailures++;
        if (mFailures >= FAILURES_UNTIL_AVOIDED) {
            mAvoidUntilMillis = nowMillis + AVOID_MILLIS;
        }
    }

    boolean isUsable(long nowMillis) {
        return !mLeaving && !mDrained && !mChanging && nowMillis >= mAvoidUntilMillis;
    }

    boolean isChanging() {
        return mChanging;
    }

    boolean isDrained() {
        return mDrained;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    boolean hasFreeStream() {
        return requests() < mMaximumStreams;
    }

    /** Returns the number of this process's calls in progress at the endpoint. */
    int ownRequests() {
        int count = mStreams.size();
        for (String identifier : mPrefills.keySet()) {
            count += mStreams.containsKey(identifier) ? 0 : 1;
        }
        return count;
    }

    /** Returns the estimated number of calls in progress from all processes. */
    int requests() {
        return ownRequests() + mOthersRequests;
    }

    int maximumStreams() {
        return mMaximumStreams;
    }

    /** Returns the estimated number of the prompt's tokens in the endpoint's prefix cache. */
    int cachedTokens(Call call) {
        int cached =
                mCachedPrefixes.countCachedPrefixBlocks(call.blocks())
                        * EngineProfile.TOKENS_PER_BLOCK;
        return Math.min(cached, call.promptTokens());
    }

    /** Returns the predicted time until the prefill of the call ends, in milliseconds. */
    double prefillMillis(Call call) {
        long queuedTokens = ownPromptTokens() + mOthersPromptTokens;
        double tokens = queuedTokens + Math.max(1, call.promptTokens() - cachedTokens(call));
        return tokens * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the predicted prefill time in milliseconds if no other prompt were waiting. */
    double idlePrefillMillis(Call call) {
        int tokens = Math.max(1, call.promptTokens() - cachedTokens(call));
        return tokens * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the interval between tokens in milliseconds if the stream were the only one. */
    double singleStreamIntervalMillis() {
        return EngineProfile.standard().intervalMillis(1, mRole);
    }

    /** Returns the shortest prefill time in any role, in milliseconds; 0 for a plain service. */
    double shortestPrefillMillis(Call call) {
        if (!mDescription.engine()) {
            return 0;
        }
        int tokens = call.promptTokens() - cachedTokens(call);
        return tokens * MILLIS_PER_SECOND / mBestPrefillRate;
    }

    /** Returns the predicted time to prefill the waiting prompts, in milliseconds. */
    double backlogMillis() {
        return (ownPromptTokens() + mOthersPromptTokens) * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the predicted interval between tokens in milliseconds with one more stream. */
    double intervalMillis() {
        return EngineProfile.standard().intervalMillis(requests() + 1, mRole);
    }

    EngineRole role() {
        return mRole;
    }

    EndpointDescription description() {
        return mDescription;
    }

    private double prefillRate() {
        return mBestPrefillRate * mRole.prefillSpeedFactor();
    }

    private long ownPromptTokens() {
        long sum = 0;
        for (Work work : mPrefills.values()) {
            sum += work.tokens();
        }
        return sum;
    }

    /**
     * A prefill or a stream of this process; {@code ranAlone} tells whether no other prompt was
     * waiting when it began.
     */
    private record Work(int tokens, long startMillis, boolean ranAlone) {}
}
