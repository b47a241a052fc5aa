package org.vanilladoor.configuration;

import java.util.List;
import java.util.Objects;

/**
 * A team of callers with its share of the fleet.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the team
 * @param share weight of the team relative to other teams, greater than 0
 * @param classes names of the classes of work that the team may use
 * @param servedWithoutStore whether a failure domain that cannot reach the store, and so may miss
 *     withdrawals of keys, keeps serving the team
 */
public record Team(String name, double share, List<String> classes, boolean servedWithoutStore) {
    public Team {
        Objects.requireNonNull(name, "name");
        classes = List.copyOf(classes);
    }
}
