package org.vanilladoor.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Simulates the timing of a model engine with continuous batching.
 *
 * <p>Prompts are prefilled one at a time in order of priority, all running streams decode
 * concurrently, and the engine does no work during a role change. Both the stand-in server and the
 * replay use this model. Time is passed in as an argument. Invariant: time never goes back. Not
 * safe for use by several threads.
 */
public final class EngineModel {
    private static final long STEP_MILLIS = 5;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private final EngineProfile mProfile;
    private final PrefixCache mCache;
    private final List<EngineJob> mWaiting = new ArrayList<>();
    private final List<EngineJob> mRunning = new ArrayList<>();
    private EngineRole mRole;
    private long mNowMillis;
    private long mChangingUntilMillis = Long.MIN_VALUE;

    private EngineModel(EngineProfile profile, EngineRole role, long nowMillis) {
        mProfile = profile;
        mCache = PrefixCache.create(profile.cacheBlocks());
        mRole = role;
        mNowMillis = nowMillis;
    }

    /** Returns an engine without requests, whose clock starts at the given time. */
    public static EngineModel create(EngineProfile profile, EngineRole role, long nowMillis) {
        return new EngineModel(profile, role, nowMillis);
    }

    /** Adds a request to the wait queue. */
    public void submit(EngineJob job) {
        job.skipCachedBlocks(mCache.countCachedPrefixBlocks(job.blocks()));
        mWaiting.add(job);
        mWaiting.sort(Comparator.comparingInt(EngineJob::priority));
    }

    /** Aborts a request; does nothing if it is unknown or done. */
    public void cancel(EngineJob job) {
        if (mWaiting.remove(job) || mRunning.remove(job)) {
            job.abort();
        }
    }

    /** Begins a role change, which aborts all requests and clears the prefix cache. */
    public void changeRole(EngineRole role) {
        abortAll();
        mCache.clear();
        mRole = role;
        mChangingUntilMillis = mNowMillis + mProfile.roleChangeMillis();
    }

    /** Aborts all requests, as a crash does. */
    public void abortAll() {
        mWaiting.forEach(EngineJob::abort);
        mRunning.forEach(EngineJob::abort);
        mWaiting.clear();
        mRunning.clear();
    }

    /** Simulates the engine up to the given time. */
    public void advanceTo(long nowMillis) {
        while (mNowMillis < nowMillis) {
            long step = Math.min(STEP_MILLIS, nowMillis - mNowMillis);
            mNowMillis += step;
            if (!isChanging()) {
                generate(step);
                prefill(step);
            }
        }
    }

    /** Returns whether a role change is in progress. */
    public boolean isChanging() {
        return mNowMillis < mChangingUntilMillis;
    }

    /** Returns the role; during a role change, the new one. */
    public EngineRole role() {
        return mRole;
    }

    /** Returns the engine's speeds and sizes. */
    public EngineProfile profile() {
        return mProfile;
    }

    /** Returns the number of streams that are decoding. */
    public int runningStreams() {
        return mRunning.size();
    }

    /** Returns the number of requests, waiting or decoding. */
    public int requests() {
        return mRunning.size() + mWaiting.size();
    }

    /** Returns the number of prompt tokens still to be prefilled. */
    public long waitingPromptTokens() {
        double sum = 0;
        for (EngineJob job : mWaiting) {
            sum += job.remainingPrefillTokens();
        }
        return Math.round(sum);
    }

    private void generate(long stepMillis) {
        boolean prefilling = mRole == EngineRole.MIXED && !mWaiting.isEmpty();
        double interval = mProfile.intervalMillis(mRunning.size(), mRole);
        double tokens =
                stepMillis / (prefilling ? interval * mRole.decodeIntervalFactor() : interval);
        for (Iterator<EngineJob> running = mRunning.iterator(); running.hasNext(); ) {
            EngineJob job = running.next();
            job.generate(tokens);
            if (job.isDone()) {
                running.remove();
            }
        }
    }

    private void prefill(long stepMillis) {
        double rate = mProfile.prefillTokensPerSecond() * mRole.prefillSpeedFactor();
        double tokenBudget = rate * stepMillis / MILLIS_PER_SECOND;
        for (Iterator<EngineJob> waiting = mWaiting.iterator(); waiting.hasNext(); ) {
            EngineJob job = waiting.next();
            tokenBudget -= job.prefill(tokenBudget);
            if (job.remainingPrefillTokens() > 0 || mRunning.size() >= mProfile.maximumStreams()) {
                return;
            }
            waiting.remove();
            mCache.add(job.blocks());
            job.completePrefill(mNowMillis);
            if (!job.isDone()) {
                mRunning.add(job);
            }
        }
    }
}
