package org.vanilladoor.caller;

import org.vanilladoor.dispatch.Call;

/**
 * Learns how calls went, for usage counts and service levels.
 *
 * <p>Implementations are called by many traffic threads at once and must not block.
 */
public interface CallObserver {
    /** Takes note of a call that was answered whole. */
    void recordCompleted(Call call, Timing timing);

    /** Takes note of a call that was refused and not run. */
    void recordRefused(Call call);

    /** Takes note of a call that ended without a whole answer. */
    void recordFailed(Call call);

    /**
     * How long an answer took.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param firstTokenMillis time to the first token or the answer
     * @param meanBetweenTokensMillis mean time between tokens, 0 without a stream
     * @param outputTokens tokens of the answer
     */
    record Timing(long firstTokenMillis, double meanBetweenTokensMillis, int outputTokens) {}
}
