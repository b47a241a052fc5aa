package org.vanilladoor.replay;

import java.util.Locale;
import java.util.Optional;
import org.vanilladoor.dispatch.Policies;

/**
 * Named sets of policies for replays: the set that entries use, and variants of it in which one
 * policy is replaced by a baseline for comparison.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum PolicySet {
    /** The policies that entries use. */
    STANDARD(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            ReplayFleet.ALL_MIXED),
    ROUND_ROBIN(
            Policies.Routing.ROUND_ROBIN,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            ReplayFleet.ALL_MIXED),
    LEAST_IN_FLIGHT(
            Policies.Routing.LEAST_IN_FLIGHT,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.FORECAST,
            ReplayFleet.ALL_MIXED),
    /** All engines keep the mixed role. */
    STATIC_MIXED(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.BUDGET,
            Policies.Roles.STATIC,
            ReplayFleet.ALL_MIXED),
    /** Three engines, half of six, keep the prefill role; the others keep the decode role. */
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
            ReplayFleet.ALL_MIXED),
    NO_RETRY_BUDGET(
            Policies.Routing.PREDICTED,
            Policies.Fairness.SHARES,
            Policies.Retries.UNLIMITED,
            Policies.Roles.FORECAST,
            ReplayFleet.ALL_MIXED);

    private final Policies mPolicies;
    private final int mPrefillEngineCount;

    PolicySet(
            Policies.Routing routing,
            Policies.Fairness fairness,
            Policies.Retries retries,
            Policies.Roles roles,
            int prefillEngineCount) {
        mPolicies = new Policies(routing, fairness, retries, roles);
        mPrefillEngineCount = prefillEngineCount;
    }

    /** Returns the set with the given {@link #commandLineName()}. */
    public static Optional<PolicySet> named(String name) {
        for (PolicySet set : values()) {
            if (set.commandLineName().equals(name)) {
                return Optional.of(set);
            }
        }
        return Optional.empty();
    }

    /** Returns the name used on the command line: lower case, with dashes. */
    public String commandLineName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public Policies policies() {
        return mPolicies;
    }

    /**
     * Returns the number of engines that start in the prefill role, or {@link
     * ReplayFleet#ALL_MIXED}.
     */
    public int prefillEngineCount() {
        return mPrefillEngineCount;
    }
}
