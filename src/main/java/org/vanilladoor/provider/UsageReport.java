package org.vanilladoor.provider;

import java.util.Objects;

/**
 * Usage of one team in one usage window, as reported to the platform.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team
 * @param window number of the usage window: epoch time divided by the window length
 * @param requests number of requests that got a response
 * @param promptTokens number of prompt tokens processed
 * @param outputTokens number of tokens generated
 * @param reporter name and incarnation of the reporting process
 */
public record UsageReport(
        String team,
        long window,
        long requests,
        long promptTokens,
        long outputTokens,
        String reporter) {
    public UsageReport {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(reporter, "reporter");
    }

    /** Returns whether both reports have the same counts for the same team and window. */
    public boolean hasSameCounts(UsageReport other) {
        return team.equals(other.team)
                && window == other.window
                && requests == other.requests
                && promptTokens == other.promptTokens
                && outputTokens == other.outputTokens;
    }
}
