package org.vanilladoor.report;

import java.util.Objects;

/**
 * Call counts of one class of work and team.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record LevelRow(String workClass, String team, LevelCounts counts) {
    public LevelRow {
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(counts, "counts");
    }
}
