package org.vanilladoor.leader;

import java.util.List;

/**
 * What the holder of the fleet's lease tells all processes of the others, so that they need not
 * list all reports themselves.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param beat grows with each writing
 * @param living how many processes live
 * @param candidates objects of the processes that stand by for the lease
 */
public record Roster(long beat, int living, List<String> candidates) {
    public Roster {
        candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }
}
