package org.vanilladoor.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.route.AuthorizedTeam;

/**
 * The admission of one request within the allowance of its team.
 *
 * <p>Invariants: a request is charged at most once; what is charged for a request that no endpoint
 * can have run is given back. A request of a team without an allowance is admitted at once.
 * Confined to the control thread.
 */
final class RequestAdmission {
    private final AllowanceControl mControl;
    private final String mTeam;
    private final Optional<Allowance> mAllowance;
    private final double mCost;
    private AllowanceControl.Wait mWait = AllowanceControl.Wait.NONE;
    private boolean mCharged;
    private long mChargedMillis;
    private boolean mEnded;

    private RequestAdmission(
            AllowanceControl control, String team, Optional<Allowance> allowance, double cost) {
        mControl = control;
        mTeam = team;
        mAllowance = allowance;
        mCost = cost;
    }

    /** Returns the admission of a request that has not been decided on. */
    static RequestAdmission of(
            AllowanceControl control, CallerRequest request, Optional<AuthorizedTeam> team) {
        Optional<Allowance> allowance = team.flatMap(AuthorizedTeam::allowance);
        return new RequestAdmission(
                control,
                team.map(AuthorizedTeam::name).orElse(""),
                allowance,
                allowance.map(each -> cost(each, request)).orElse(0.0));
    }

    private static double cost(Allowance allowance, CallerRequest request) {
        OptionalLong tokens =
                request.prompt()
                        .map(prompt -> OptionalLong.of(prompt.totalTokens()))
                        .orElse(OptionalLong.empty());
        return allowance.unit().cost(tokens, allowance.plainTokens());
    }

    /**
     * Asks for the admission; exactly one of the actions runs, unless the request ends first.
     *
     * @param onAdmitted runs when the request may begin
     * @param onRefused runs when the request is to be refused
     */
    void start(Runnable onAdmitted, RefusalAction onRefused) {
        if (mAllowance.isEmpty()) {
            onAdmitted.run();
            return;
        }
        AllowanceControl.Wait wait =
                mControl.admit(mTeam, mAllowance.get(), mCost, new Decided(onAdmitted, onRefused));
        if (mEnded) {
            wait.cancel();
        } else {
            mWait = wait;
        }
    }

    /**
     * Ends the admission with its request.
     *
     * @param mayHaveWorked whether an endpoint may have done work for the request
     */
    void end(boolean mayHaveWorked) {
        mEnded = true;
        mWait.cancel();
        if (mCharged && !mayHaveWorked) {
            mCharged = false;
            mControl.credit(mTeam, mCost, mChargedMillis);
        }
    }

    /** Refuses a request. */
    @FunctionalInterface
    interface RefusalAction {
        /**
         * Runs once.
         *
         * @param millisUntilRoom time after which the team has room for the request
         * @param reason what is used up, for the log
         */
        void refuse(long millisUntilRoom, String reason);
    }

    /** Records the decision before it takes effect. */
    private final class Decided implements AllowanceControl.Outcome {
        private final Runnable mOnAdmitted;
        private final RefusalAction mOnRefused;

        Decided(Runnable onAdmitted, RefusalAction onRefused) {
            mOnAdmitted = onAdmitted;
            mOnRefused = onRefused;
        }

        @Override
        public void onAdmitted() {
            mCharged = true;
            mChargedMillis = ExpiryClock.nowMillis();
            mOnAdmitted.run();
        }

        @Override
        public void onRefused(long millisUntilRoom, String reason) {
            mOnRefused.refuse(millisUntilRoom, reason);
        }
    }
}
