package org.vanilladoor.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.engine.PrefixCache;
import org.vanilladoor.provider.EndpointDescription;

/**
 * What this process knows of one endpoint.
 *
 * <p>Invariant: counts of own work never fall below zero. Belongs to the control thread.
 */
final class EndpointState {
    private static final double LEARNING_RATE = 0.1;
    private static final int ASSUMED_STREAMS = 16;
    private static final int CACHE_HINT_BLOCKS = 4_096;
    private static final int FAILURES_TO_AVOID = 3;
    private static final long AVOID_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Age at which a report has lost most of its worth; about as long as a stream lasts. */
    private static final double REPORT_LIFE_MILLIS = 2_000;

    private EndpointDescription mDescription;
    private EngineRole mRole = EngineRole.MIXED;
    private boolean mChanging;
    private boolean mLeaving;
    private boolean mDrained;
    private int mMaximumStreams = ASSUMED_STREAMS;
    private int mReportedRequests;
    private long mReportedPromptTokens;
    private double mReportWeight = 1;
    private int mOthersRequests;
    private long mOthersPromptTokens;
    private double mBestPrefillRate = EngineProfile.standard().prefillTokensPerSecond();
    private int mFailures;
    private long mAvoidUntilMillis = Long.MIN_VALUE;
    private final PrefixCache mCacheHints = PrefixCache.create(CACHE_HINT_BLOCKS);
    private final Map<String, Work> mPrefilling = new HashMap<>();
    private final Map<String, Work> mStreaming = new HashMap<>();

    private EndpointState(EndpointDescription description) {
        mDescription = description;
        mLeaving = description.leaving();
    }

    static EndpointState of(EndpointDescription description) {
        return new EndpointState(description);
    }

    void describe(EndpointDescription description) {
        mDescription = description;
        mLeaving = mLeaving || description.leaving();
    }

    /** Takes in a lagging report; {@link #estimateOthers} makes use of it. */
    void report(LoadReport report, long ageMillis) {
        if (report.role() != mRole || report.changing()) {
            mCacheHints.clear();
        }
        mRole = report.role();
        mChanging = report.changing();
        mLeaving = mLeaving || report.leaving();
        mMaximumStreams = Math.max(1, report.maximumStreams());
        mReportedRequests = report.requests();
        mReportedPromptTokens = report.waitingPromptTokens();
        mReportWeight = Math.exp(-Math.max(0, ageMillis) / REPORT_LIFE_MILLIS);
    }

    /**
     * Estimates the work of other processes from the report, as far as its age allows, and from
     * what like engines hold on average. Without the average every process would send its work to
     * the engine that the same old report shows idle.
     */
    void estimateOthers(double meanRequests, double meanPromptTokens) {
        double requests = weighted(mReportedRequests, ownRequests(), meanRequests);
        double tokens = weighted(mReportedPromptTokens, ownPromptTokens(), meanPromptTokens);
        mOthersRequests = (int) Math.round(requests);
        mOthersPromptTokens = Math.round(tokens);
    }

    private double weighted(double reported, double own, double mean) {
        return Math.max(0, mean + mReportWeight * (reported - own - mean));
    }

    int reportedRequests() {
        return mReportedRequests;
    }

    long reportedPromptTokens() {
        return mReportedPromptTokens;
    }

    void drain(boolean drained) {
        mDrained = drained;
    }

    void leave() {
        mLeaving = true;
    }

    void startPrefill(Call call, long nowMillis) {
        int cached = cachedTokens(call);
        boolean alone = mPrefilling.isEmpty() && mOthersPromptTokens == 0;
        int tokens = Math.max(1, call.promptTokens() - cached);
        mPrefilling.put(call.identifier(), new Work(tokens, nowMillis, alone));
        mCacheHints.add(call.blocks());
    }

    void endPrefill(Call call, long nowMillis) {
        Work work = mPrefilling.remove(call.identifier());
        if (work == null || !work.alone() || !mDescription.engine()) {
            return;
        }
        double seconds = Math.max(1, nowMillis - work.startMillis()) / MILLIS_PER_SECOND;
        if (work.tokens() >= EngineProfile.TOKENS_PER_BLOCK) {
            double sample = work.tokens() / seconds / mRole.prefillSpeedFactor();
            mBestPrefillRate += LEARNING_RATE * (sample - mBestPrefillRate);
        }
    }

    void startStream(Call call, long nowMillis) {
        mStreaming.put(call.identifier(), new Work(call.outputTokens(), nowMillis, false));
    }

    void endStream(Call call) {
        mPrefilling.remove(call.identifier());
        mStreaming.remove(call.identifier());
    }

    void succeed() {
        mFailures = 0;
    }

    void fail(long nowMillis) {
        mFailures++;
        if (mFailures >= FAILURES_TO_AVOID) {
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

    boolean hasRoom() {
        return requests() < mMaximumStreams;
    }

    /** Returns the calls of this process that are at the endpoint. */
    int ownRequests() {
        int count = mStreaming.size();
        for (String identifier : mPrefilling.keySet()) {
            count += mStreaming.containsKey(identifier) ? 0 : 1;
        }
        return count;
    }

    int requests() {
        return ownRequests() + mOthersRequests;
    }

    int maximumStreams() {
        return mMaximumStreams;
    }

    int cachedTokens(Call call) {
        int cached = mCacheHints.leadingBlocks(call.blocks()) * EngineProfile.TOKENS_PER_BLOCK;
        return Math.min(cached, call.promptTokens());
    }

    /** Returns the predicted time until the prompt is read, in milliseconds. */
    double prefillMillis(Call call) {
        long ahead = ownPromptTokens() + mOthersPromptTokens;
        double tokens = ahead + Math.max(1, call.promptTokens() - cachedTokens(call));
        return tokens * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the time until the prompt is read, were nothing else waiting. */
    double idlePrefillMillis(Call call) {
        int tokens = Math.max(1, call.promptTokens() - cachedTokens(call));
        return tokens * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the interval between tokens of a lone stream. */
    double idleIntervalMillis() {
        return EngineProfile.standard().intervalMillis(1, mRole);
    }

    /** Returns the shortest time in which the endpoint could read the prompt in any role. */
    double shortestReadingMillis(Call call) {
        if (!mDescription.engine()) {
            return 0;
        }
        int tokens = call.promptTokens() - cachedTokens(call);
        return tokens * MILLIS_PER_SECOND / mBestPrefillRate;
    }

    /** Returns the predicted time to read waiting prompts, in milliseconds. */
    double backlogMillis() {
        return (ownPromptTokens() + mOthersPromptTokens) * MILLIS_PER_SECOND / prefillRate();
    }

    /** Returns the predicted interval between tokens with one stream more. */
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
        for (Work work : mPrefilling.values()) {
            sum += work.tokens();
        }
        return sum;
    }

    /** Work of this process at the endpoint. */
    private record Work(int tokens, long startMillis, boolean alone) {}
}
