package org.vanilladoor.dispatch;

/**
 * An amount of work for engines.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param promptTokens tokens to read
 * @param outputTokens tokens to generate
 */
public record Demand(double promptTokens, double outputTokens) {
    /** No work. */
    public static final Demand NONE = new Demand(0, 0);

    /** Returns the sum with more work. */
    public Demand plus(double morePromptTokens, double moreOutputTokens) {
        return new Demand(promptTokens + morePromptTokens, outputTokens + moreOutputTokens);
    }
}
