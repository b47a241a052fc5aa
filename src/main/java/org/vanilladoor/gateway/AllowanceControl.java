package org.vanilladoor.gateway;

import org.vanilladoor.allowance.Allowance;

/**
 * Decides whether a team's request is within the team's allowance.
 *
 * <p>Implementations are confined to the control thread.
 */
public interface AllowanceControl {
    /** Admits every request. */
    AllowanceControl UNLIMITED =
            new AllowanceControl() {
                @Override
                public Wait admit(String team, Allowance allowance, double cost, Outcome outcome) {
                    outcome.onAdmitted();
                    return Wait.NONE;
                }

                @Override
                public void credit(String team, double cost, long admittedMillis) {
                    // Nothing was charged.
                }
            };

    /**
     * Charges a request to the allowance of its team, now or after a wait of less than a second.
     *
     * @param cost cost of the request in the unit of the allowance
     * @param outcome is called exactly once, possibly before this method returns, unless the wait
     *     is cancelled
     * @return the wait for the outcome
     */
    Wait admit(String team, Allowance allowance, double cost, Outcome outcome);

    /**
     * Gives back the cost of an admitted request that no endpoint has run or will run.
     *
     * @param admittedMillis when it was admitted, by {@link org.vanilladoor.common.ExpiryClock}
     */
    void credit(String team, double cost, long admittedMillis);

    /** Receives the decision on a request. */
    interface Outcome {
        /** Called when the request has been charged and may run. */
        void onAdmitted();

        /**
         * Called when the request is refused; nothing has been charged.
         *
         * @param millisUntilRoom time after which the team has room for the request
         * @param reason what is used up, for the log
         */
        void onRefused(long millisUntilRoom, String reason);
    }

    /** The wait of a request for its outcome. */
    @FunctionalInterface
    interface Wait {
        /** A wait that is over. */
        Wait NONE = () -> {};

        /** Ends the wait without an outcome. */
        void cancel();
    }
}
