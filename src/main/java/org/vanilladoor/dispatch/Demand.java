package org.vanilladoor.dispatch;

/**
 * An amount of work for engines, or such an amount per second.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param promptTokens tokens to prefill
 * @param outputTokens tokens to decode
 */
public record Demand(double promptTokens, double outputTokens) {
    /** No work. */
    public static final Demand NONE = new Demand(0, 0);

    /** Returns the sum of this demand and the given tokens. */
    public Demand plus(double addedPromptTokens, double addedOutputTokens) {
        return new Demand(promptTokens + addedPromptTokens, outputTokens + addedOutputTokens);
    }
}
