package org.vanilladoor.engine;

import java.util.List;

/**
 * A request being processed by an engine.
 *
 * <p>Invariant: the number of generated tokens never decreases. Owned by its {@link EngineModel};
 * not safe for use by several threads.
 */
public final class EngineJob {
    private final String mIdentifier;
    private final int mPriority;
    private final int mPromptTokens;
    private final int mOutputTokens;
    private final List<Long> mBlocks;
    private final Scope mScope;
    private double mRemainingPrefillTokens;
    private double mGeneratedTokens;
    private long mFirstTokenMillis = -1;
    private State mState = State.WAITING;

    private EngineJob(
            String identifier,
            int priority,
            int promptTokens,
            int outputTokens,
            List<Long> blocks,
            Scope scope) {
        mIdentifier = identifier;
        mPriority = priority;
        mPromptTokens = promptTokens;
        mOutputTokens = outputTokens;
        mBlocks = List.copyOf(blocks);
        mScope = scope;
        mRemainingPrefillTokens = scope == Scope.DECODE_ONLY ? 0 : promptTokens;
    }

    /**
     * Returns a new request.
     *
     * @param identifier identifier, unique within the engine
     * @param priority priority; lower numbers go first, 0 is the lowest
     * @param promptTokens length of the prompt in tokens
     * @param outputTokens number of tokens to generate, at least 1
     * @param blocks digests of the prompt's blocks
     * @param scope phases that the engine runs
     */
    public static EngineJob create(
            String identifier,
            int priority,
            int promptTokens,
            int outputTokens,
            List<Long> blocks,
            Scope scope) {
        return new EngineJob(identifier, priority, promptTokens, outputTokens, blocks, scope);
    }

    /** Returns the identifier. */
    public String identifier() {
        return mIdentifier;
    }

    /** Returns the number of tokens generated so far. */
    public int generatedTokens() {
        return Math.min(mOutputTokens, (int) mGeneratedTokens);
    }

    /** Returns the number of tokens to generate in total. */
    public int outputTokens() {
        return mOutputTokens;
    }

    /**
     * Returns the engine's time of the first token in milliseconds, or -1 before the prefill has
     * ended.
     */
    public long firstTokenMillis() {
        return mFirstTokenMillis;
    }

    /** Returns whether all phases have completed. */
    public boolean isDone() {
        return mState == State.DONE;
    }

    /** Returns whether the engine aborted the request. */
    public boolean isAborted() {
        return mState == State.ABORTED;
    }

    int priority() {
        return mPriority;
    }

    List<Long> blocks() {
        return mBlocks;
    }

    double remainingPrefillTokens() {
        return mRemainingPrefillTokens;
    }

    void skipCachedBlocks(int blocks) {
        int cached = Math.min(mPromptTokens, blocks * EngineProfile.TOKENS_PER_BLOCK);
        mRemainingPrefillTokens = Math.max(0, mRemainingPrefillTokens - cached);
    }

    /** Prefills up to the given number of tokens and returns how many were prefilled. */
    double prefill(double tokens) {
        double prefilled = Math.min(tokens, mRemainingPrefillTokens);
        mRemainingPrefillTokens -= prefilled;
        return prefilled;
    }

    void completePrefill(long nowMillis) {
        mFirstTokenMillis = nowMillis;
        mGeneratedTokens = 1;
        boolean done = mScope == Scope.PREFILL_ONLY || mOutputTokens <= 1;
        mState = done ? State.DONE : State.GENERATING;
    }

    void generate(double tokens) {
        mGeneratedTokens += tokens;
        if (mGeneratedTokens >= mOutputTokens) {
            mState = State.DONE;
        }
    }

    void abort() {
        mState = State.ABORTED;
    }

    /** The phases of a request that an engine runs. */
    public enum Scope {
        /** Prefill and decode. */
        WHOLE,
        /** Does the prefill and exports the KV cache. */
        PREFILL_ONLY,
        /** Imports a KV cache and decodes. */
        DECODE_ONLY
    }

    private enum State {
        WAITING,
        GENERATING,
        DONE,
        ABORTED
    }
}
