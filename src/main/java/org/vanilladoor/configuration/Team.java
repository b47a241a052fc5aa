package org.vanilladoor.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Objects;
import org.vanilladoor.allowance.Allowance;

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
 * @param allowance how much the team may use, or null if that is not limited; left out of the
 *     stored object then
 */
public record Team(
        String name,
        double share,
        List<String> classes,
        boolean servedWithoutStore,
        @JsonInclude(JsonInclude.Include.NON_NULL) Allowance allowance) {
    public Team {
        Objects.requireNonNull(name, "name");
        classes = List.copyOf(classes);
    }

    /** Creates a team whose use is not limited. */
    public Team(String name, double share, List<String> classes, boolean servedWithoutStore) {
        this(name, share, classes, servedWithoutStore, null);
    }
}
