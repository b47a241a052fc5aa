package org.vanilladoor.usage;

import java.util.Objects;

/**
 * Identifies the counts of one process for one team in one usage window.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param incarnation incarnation of the process that counted
 * @param window number of the usage window
 * @param team name of the team
 */
public record UsageCountKey(String incarnation, long window, String team) {
    private static final int PART_COUNT = 3;

    public UsageCountKey {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(team, "team");
    }

    /** Returns the text form, which is used as a key in JSON: window, incarnation and team. */
    String toKey() {
        return window + "/" + incarnation + "/" + team;
    }

    /** Parses the result of {@link #toKey}. */
    static UsageCountKey parseKey(String key) {
        String[] parts = key.split("/", PART_COUNT);
        return new UsageCountKey(parts[1], Long.parseLong(parts[0]), parts[2]);
    }
}
