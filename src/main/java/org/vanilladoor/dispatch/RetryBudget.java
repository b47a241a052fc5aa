package org.vanilladoor.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds each team's repeated requests to a part of its first tries.
 *
 * <p>Invariant: a team's credit stays from 0 to its cap. Belongs to the control thread.
 */
final class RetryBudget {
    private static final double CREDIT_PER_FIRST_TRY = 0.1;
    private static final double MAXIMUM_CREDIT = 10;
    private static final double INITIAL_CREDIT = 5;
    private final Policies.Retries mPolicy;
    private final Map<String, Double> mCredit = new HashMap<>();

    private RetryBudget(Policies.Retries policy) {
        mPolicy = policy;
    }

    static RetryBudget create(Policies.Retries policy) {
        return new RetryBudget(policy);
    }

    /** Counts a request and returns whether it may go on. */
    boolean admit(String team, boolean repeat) {
        if (mPolicy == Policies.Retries.UNLIMITED) {
            return true;
        }
        double credit = mCredit.getOrDefault(team, INITIAL_CREDIT);
        if (!repeat) {
            mCredit.put(team, Math.min(MAXIMUM_CREDIT, credit + CREDIT_PER_FIRST_TRY));
            return true;
        }
        if (credit < 1) {
            return false;
        }
        mCredit.put(team, credit - 1);
        return true;
    }
}
