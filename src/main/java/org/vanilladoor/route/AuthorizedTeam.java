package org.vanilladoor.route;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A team that is authorized to use the routes that need a key.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the team
 * @param rank urgency of its requests, which overrides the route's; lower numbers go first
 */
public record AuthorizedTeam(String name, OptionalInt rank) {
    public AuthorizedTeam {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
    }
}
