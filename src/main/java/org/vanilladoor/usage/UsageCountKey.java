package org.vanilladoor.usage;

import java.util.Objects;

/**
 * Names what one process counted for one team in one window.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param incarnation process that counted
 * @param window number of the window
 * @param team name of the team
 */
public record UsageCountKey(String incarnation, long window, String team) {
    public UsageCountKey {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(team, "team");
    }

    /** Returns the name as text, for use as a key in JSON. */
    String toKey() {
        return window + "/" + incarnation + "/" + team;
    }

    static UsageCountKey ofKey(String key) {
        String[] parts = key.split("/", 3);
        return new UsageCountKey(parts[1], Long.parseLong(parts[0]), parts[2]);
    }
}
