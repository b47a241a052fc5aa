package org.vanilladoor.route;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A team that may use routes that are not open.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the team
 * @param rank urgency of its requests, which goes before the route's
 */
public record AuthorizedTeam(String name, OptionalInt rank) {
    public AuthorizedTeam {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
    }
}
