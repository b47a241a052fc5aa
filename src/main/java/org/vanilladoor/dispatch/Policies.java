package org.vanilladoor.dispatch;

import java.util.Objects;

/**
 * The policies in force; the first of each enum are baselines kept to measure against.
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

    /** How an endpoint is chosen. */
    public enum Routing {
        ROUND_ROBIN,
        LEAST_IN_FLIGHT,
        PREDICTED
    }

    /** How teams share what there is. */
    public enum Fairness {
        /** First come, first served. */
        NONE,
        /** By tokens served against the team's share. */
        SHARES
    }

    /** What limits repeated requests. */
    public enum Retries {
        UNLIMITED,
        /** Repeats are held to a part of each team's first tries. */
        BUDGET
    }

    /** How engines get their roles. */
    public enum Roles {
        STATIC,
        FORECAST
    }
}
