package org.vanilladoor.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The timing of a model engine with continuous batching, driven by a clock it is given.
 *
 * <p>Prompts are read one after the other by priority, tokens of all running streams are generated
 * side by side, and a role change takes the engine away for a while. The same model serves the
 * stand-in server and the replay. Invariant: time never goes back. Not safe for use by several
 * threads.
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

    /** Returns an idle engine. */
    public static EngineModel create(EngineProfile profile, EngineRole role, long nowMillis) {
        return new EngineModel(profile, role, nowMillis);
    }

    /** Takes a request in. */
    public void submit(EngineJob job) {
        job.skipCached(mCache.leadingBlocks(job.blocks()));
        mWaiting.add(job);
        mWaiting.sort(Comparator.comparingInt(EngineJob::priority));
    }

    /** Gives up a request; one that is unknown or done stays as it is. */
    public void cancel(EngineJob job) {
        if (mWaiting.remove(job) || mRunning.remove(job)) {
            job.cut();
        }
    }

    /** Begins a role change, which cuts whatever is still inside. */
    public void changeRole(EngineRole role) {
        abortAll();
        mCache.clear();
        mRole = role;
        mChangingUntilMillis = mNowMillis + mProfile.roleChangeMillis();
    }

    /** Cuts whatever is inside, as a crash does. */
    public void abortAll() {
        mWaiting.forEach(EngineJob::cut);
        mRunning.forEach(EngineJob::cut);
        mWaiting.clear();
        mRunning.clear();
    }

    /** Lets the time pass until the given moment. */
    public void advanceTo(long nowMillis) {
        while (mNowMillis < nowMillis) {
            long step = Math.min(STEP_MILLIS, nowMillis - mNowMillis);
            mNowMillis += step;
            if (!isChanging()) {
                generate(step);
                readPrompts(step);
            }
        }
    }

    /** Returns whether a role change is going on. */
    public boolean isChanging() {
        return mNowMillis < mChangingUntilMillis;
    }

    /** Returns the role, the new one during a change. */
    public EngineRole role() {
        return mRole;
    }

    /** Returns the engine's speeds and sizes. */
    public EngineProfile profile() {
        return mProfile;
    }

    /** Returns the number of streams that generate. */
    public int runningStreams() {
        return mRunning.size();
    }

    /** Returns the number of requests inside. */
    public int requests() {
        return mRunning.size() + mWaiting.size();
    }

    /** Returns the prompt tokens still to be read. */
    public long waitingPromptTokens() {
        double sum = 0;
        for (EngineJob job : mWaiting) {
            sum += job.prefillLeft();
        }
        return Math.round(sum);
    }

    private void generate(long stepMillis) {
        boolean reading = mRole == EngineRole.MIXED && !mWaiting.isEmpty();
        double interval = mProfile.intervalMillis(mRunning.size(), mRole);
        double tokens = stepMillis / (reading ? interval * mRole.decodeInterval() : interval);
        for (Iterator<EngineJob> running = mRunning.iterator(); running.hasNext(); ) {
            EngineJob job = running.next();
            job.generate(tokens);
            if (job.isDone()) {
                running.remove();
            }
        }
    }

    private void readPrompts(long stepMillis) {
        double rate = mProfile.prefillTokensPerSecond() * mRole.prefillSpeedFactor();
        double budget = rate * stepMillis / MILLIS_PER_SECOND;
        for (Iterator<EngineJob> waiting = mWaiting.iterator(); waiting.hasNext(); ) {
            EngineJob job = waiting.next();
            budget -= job.prefill(budget);
            if (job.prefillLeft() > 0 || mRunning.size() >= mProfile.maximumStreams()) {
                return;
            }
            waiting.remove();
            mCache.add(job.blocks());
            job.endPrefill(mNowMillis);
            if (!job.isDone()) {
                mRunning.add(job);
            }
        }
    }
}
