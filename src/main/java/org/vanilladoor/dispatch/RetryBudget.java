package org.vanilladoor.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits each team's retries to a fraction of its first attempts.
 *
 * <p>Each first attempt adds credit, each admitted retry takes one. Invariant: a team's credit is
 * from 0 to {@link #MAXIMUM_CREDIT}. Confined to the control thread.
 */
final class RetryBudget {
    private static final double CREDIT_PER_FIRST_ATTEMPT = 0.1;
    private static final int CREDIT_PER_RETRY = 1;
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

    /** Counts a request against the team's budget and returns whether it is admitted. */
    boolean admit(String team, boolean isRetry) {
        if (mPolicy == Policies.Retries.UNLIMITED) {
            return true;
        }
        double credit = mCredit.getOrDefault(team, INITIAL_CREDIT);
        if (!isRetry) {
            mCredit.put(team, Math.min(MAXIMUM_CREDIT, credit + CREDIT_PER_FIRST_ATTEMPT));
            return true;
        }
        if (credit < CREDIT_PER_RETRY) {
            return false;
        }
        mCredit.put(team, credit - CREDIT_PER_RETRY);
        return true;
    }
}
