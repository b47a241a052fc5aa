package org.vanilladoor.dispatch;

import java.util.Objects;

/**
 * The policies of dispatch and role changes. The policies other than those of {@link #standard} are
 * baselines that replays compare with.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record Policies(Routing routing, Fairness fairness, Retries retries, Roles roles) {
    public Policies {
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(fairness, "fairness");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(roles, "roles");
    }

    /** Returns the policies that entries use. */
    public static Policies standard() {
        return new Policies(Routing.PREDICTED, Fairness.SHARES, Retries.BUDGET, Roles.FORECAST);
    }

    /** How an endpoint is selected for a call. */
    public enum Routing {
        ROUND_ROBIN,
        LEAST_IN_FLIGHT,
        /** By predicted cost, between two endpoints drawn at random. */
        PREDICTED
    }

    /** How capacity is shared among teams. */
    public enum Fairness {
        /** First come, first served. */
        NONE,
        /** The team with the fewest served tokens relative to its share goes first. */
        SHARES
    }

    /** How retries are limited. */
    public enum Retries {
        UNLIMITED,
        /** Each team's retries are limited to a fraction of its first attempts. */
        BUDGET
    }

    /** How the roles of engines are decided. */
    public enum Roles {
        STATIC,
        FORECAST
    }
}
