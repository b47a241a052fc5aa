package org.vanilladoor.configuration;

import java.util.List;
import java.util.Objects;

/**
 * A team with its share of the fleet.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the team
 * @param share weight of the team against other teams, above 0
 * @param classes names of the classes of work it may use
 * @param servedWithoutStore whether it is served by a failure domain that can't hear of withdrawn
 *     keys
 */
public record Team(String name, double share, List<String> classes, boolean servedWithoutStore) {
    public Team {
        Objects.requireNonNull(name, "name");
        classes = List.copyOf(classes);
    }
}
