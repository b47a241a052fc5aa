package org.vanilladoor.gateway;

import java.util.Optional;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.Route;

/**
 * The scheduling priority of a request, from 0 (first) to {@link #LOWEST}.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class Urgency {
    private static final int LOWEST = 9;

    private Urgency() {}

    /** Returns the team's priority if it has one, otherwise the route's. */
    static int of(Route route, Optional<AuthorizedTeam> team) {
        int rank = team.map(each -> each.rank().orElse(route.rank())).orElse(route.rank());
        return Math.max(0, Math.min(LOWEST, rank));
    }
}
