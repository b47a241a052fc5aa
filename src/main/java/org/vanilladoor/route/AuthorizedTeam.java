package org.vanilladoor.route;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.vanilladoor.allowance.Allowance;

/**
 * A team that is authorized to use the routes that need a key.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the team
 * @param rank urgency of its requests, which overrides the route's; lower numbers go first
 * @param allowance how much the team may use, if that is limited
 */
public record AuthorizedTeam(String name, OptionalInt rank, Optional<Allowance> allowance) {
    public AuthorizedTeam {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(allowance, "allowance");
    }

    /** Creates a team whose use is not limited. */
    public AuthorizedTeam(String name, OptionalInt rank) {
        this(name, rank, Optional.empty());
    }
}
