package org.vanilladoor.caller;

import org.vanilladoor.dispatch.Call;

/**
 * Receives the results of calls, for usage counts and service levels.
 *
 * <p>Implementations are called by many traffic threads at once and must not block.
 */
public interface CallObserver {
    /** Records a call that received a complete response from an endpoint. */
    void recordCompleted(Call call, Timing timing);

    /** Records a call that ended with a refusal. */
    void recordRefused(Call call);

    /** Records a call that ended without a complete response. */
    void recordFailed(Call call);

    /**
     * The measured times of a response.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param firstTokenMillis milliseconds from arrival to the first token, or to the whole
     *     response without a stream
     * @param meanBetweenTokensMillis mean milliseconds between tokens, 0 without a stream
     * @param outputTokens number of tokens in the response
     */
    record Timing(long firstTokenMillis, double meanBetweenTokensMillis, int outputTokens) {}
}
