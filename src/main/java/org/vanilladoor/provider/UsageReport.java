package org.vanilladoor.provider;

import java.util.Objects;

/**
 * What one team used in one window, as it is reported to the platform.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team
 * @param window number of the window, counted from the epoch in window lengths
 * @param requests answered requests
 * @param promptTokens tokens read
 * @param outputTokens tokens generated
 * @param reporter name and incarnation of the process that reports
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

    /** Returns whether both reports give the same figures for the same team and window. */
    public boolean hasSameFigures(UsageReport other) {
        return team.equals(other.team)
                && window == other.window
                && requests == other.requests
                && promptTokens == other.promptTokens
                && outputTokens == other.outputTokens;
    }
}
