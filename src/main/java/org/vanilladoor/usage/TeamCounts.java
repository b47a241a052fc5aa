package org.vanilladoor.usage;

/**
 * Usage counts of one team, such as those of one process in one usage window.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requests number of requests that got a response
 * @param promptTokens number of prompt tokens
 * @param outputTokens number of generated tokens
 */
public record TeamCounts(long requests, long promptTokens, long outputTokens) {
    /** Counts that are all zero. */
    public static final TeamCounts ZERO = new TeamCounts(0, 0, 0);

    /** Returns the sum of both counts, figure by figure. */
    public TeamCounts plus(TeamCounts other) {
        return new TeamCounts(
                requests + other.requests,
                promptTokens + other.promptTokens,
                outputTokens + other.outputTokens);
    }

    /** Returns these counts minus the others, figure by figure. */
    public TeamCounts minus(TeamCounts other) {
        return new TeamCounts(
                requests - other.requests,
                promptTokens - other.promptTokens,
                outputTokens - other.outputTokens);
    }

    /**
     * Returns the larger of each figure.
     *
     * <p>Counts of one process never decrease, so this merges two copies of the same counts.
     */
    public TeamCounts max(TeamCounts other) {
        return new TeamCounts(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(outputTokens, other.outputTokens));
    }
}
