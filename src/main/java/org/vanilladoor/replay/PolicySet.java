package org.vanilladoor.replay;

import java.util.Locale;
import java.util.Optional;
import org.vanilladoor.dispatch.Policies;

/**
 * Named sets of policies: the one that entries use, and it with one policy replaced by a baseline.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum PolicySet {
    STANDARD(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            -1),
    ROUND_ROBIN(
            Policies.Routing.ROUND_ROBIN,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            -1),
    LEAST_IN_FLIGHT(
            Policies.Routing.LEAST_IN_FLIGHT,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            -1),
    /** All engines stay mixed. */
    STATIC_MIXED(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.STATIC,
            -1),
    /** Half of the engines read prompts and half generate, for ever. */
    STATIC_HALVES(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.STATIC,
            3),
    NO_FAIRNESS(
            Policies.Routing.PREDICTED,
            Policies.Fairness.NONE,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            -1),
    NO_RETRY_BUDGET(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.UNLIMITED,
            Policies.Roles.FORECAST,
            -1);

    private final Policies mPolicies;
    private final int mPrefillEngines;

    PolicySet(
            Policies.Routing routing,
            Policies.Fairness fairness,
            Policies.Retries retries,
            Policies.Roles roles,
            int prefillEngines) {
        mPolicies = new Policies(routing, fairness, retries, roles);
        mPrefillEngines = prefillEngines;
    }

    /** Returns the set of that name, written with dashes. */
    public static Optional<PolicySet> named(String name) {
        for (PolicySet set : values()) {
            if (set.commandLineName().equals(name)) {
                return Optional.of(set);
            }
        }
        return Optional.empty();
    }

    /** Returns the name written with dashes. */
    public String commandLineName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the policies. */
    public Policies policies() {
        return mPolicies;
    }

    /** Returns the engines that begin in the prefill role, -1 to begin all mixed. */
    public int prefillEngineCount() {
        return mPrefillEngines;
    }
}
