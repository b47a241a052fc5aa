package org.vanilladoor.engine;

import java.util.List;

/**
 * One request inside an engine.
 *
 * <p>Invariant: the number of generated tokens never falls. Owned by its {@link EngineModel} and
 * not safe for use by several threads.
 */
public final class EngineJob {
    private final String mIdentifier;
    private final int mPriority;
    private final int mPromptTokens;
    private final int mOutputTokens;
    private final List<Long> mBlocks;
    private final Scope mScope;
    private double mPrefillLeft;
    private double mProgress;
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
        mPrefillLeft = scope == Scope.DECODE_ONLY ? 0 : promptTokens;
    }

    /**
     * Returns a new request.
     *
     * @param identifier unique within the engine
     * @param priority 0 is served first
     * @param promptTokens length of the prompt
     * @param outputTokens tokens to generate, at least 1
     * @param blocks digests of the prompt's blocks
     * @param scope which phases the engine does
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

    /** Returns the tokens generated so far. */
    public int generatedTokens() {
        return Math.min(mOutputTokens, (int) mProgress);
    }

    /** Returns the tokens it will generate in all. */
    public int outputTokens() {
        return mOutputTokens;
    }

    /** Returns the time of the first token, or -1 before it. */
    public long firstTokenMillis() {
        return mFirstTokenMillis;
    }

    /** Returns whether nothing is left to do. */
    public boolean isDone() {
        return mState == State.DONE;
    }

    /** Returns whether the engine gave it up. */
    public boolean isAborted() {
        return mState == State.CUT;
    }

    int priority() {
        return mPriority;
    }

    List<Long> blocks() {
        return mBlocks;
    }

    double prefillLeft() {
        return mPrefillLeft;
    }

    void skipCached(int blocks) {
        int cached = Math.min(mPromptTokens, blocks * EngineProfile.TOKENS_PER_BLOCK);
        mPrefillLeft = Math.max(0, mPrefillLeft - cached);
    }

    /** Reads some of the prompt and returns the tokens read. */
    double prefill(double tokens) {
        double read = Math.min(tokens, mPrefillLeft);
        mPrefillLeft -= read;
        return read;
    }

    void endPrefill(long nowMillis) {
        mFirstTokenMillis = nowMillis;
        mProgress = 1;
        boolean done = mScope == Scope.PREFILL_ONLY || mOutputTokens <= 1;
        mState = done ? State.DONE : State.GENERATING;
    }

    void generate(double tokens) {
        mProgress += tokens;
        if (mProgress >= mOutputTokens) {
            mState = State.DONE;
        }
    }

    void cut() {
        mState = State.CUT;
    }

    /** Which phases of a request an engine does. */
    public enum Scope {
        /** Both phases. */
        PREFILL_AND_DECODE,
        /** Reads the prompt and exports its KV cache. */
        PREFILL_ONLY,
        /** Imports a KV cache and generates. */
        DECODE_ONLY
    }

    private enum State {
        WAITING,
        GENERATING,
        DONE,
        CUT
    }
}
