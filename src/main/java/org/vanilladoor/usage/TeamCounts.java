package org.vanilladoor.usage;

/**
 * What one process counted for one team since its start.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requests answered requests
 * @param promptTokens tokens read
 * @param outputTokens tokens generated
 */
public record TeamCounts(long requests, long promptTokens, long outputTokens) {
    /** Nothing counted. */
    public static final TeamCounts ZERO = new TeamCounts(0, 0, 0);

    /** Returns the sum. */
    public TeamCounts plus(TeamCounts other) {
        return new TeamCounts(
                requests + other.requests,
                promptTokens + other.promptTokens,
                outputTokens + other.outputTokens);
    }

    /** Returns the difference. */
    public TeamCounts minus(TeamCounts other) {
        return new TeamCounts(
                requests - other.requests,
                promptTokens - other.promptTokens,
                outputTokens - other.outputTokens);
    }

    /** Returns the larger of each figure; counts of one process only grow. */
    public TeamCounts max(TeamCounts other) {
        return new TeamCounts(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(outputTokens, other.outputTokens));
    }
}
