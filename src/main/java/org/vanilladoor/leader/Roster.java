package org.vanilladoor.leader;

import java.util.List;

/**
 * Summary of all processes that the holder of the fleet lease publishes, so that the other
 * processes need not list all reports themselves.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param beat heartbeat number; increases with each write
 * @param living number of live processes
 * @param candidates names of the report objects of the processes that may acquire the lease
 */
public record Roster(long beat, int living, List<String> candidates) {
    public Roster {
        if (living < 1) {
            throw new IllegalArgumentException("living is not positive: " + living);
        }
        candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }
}
