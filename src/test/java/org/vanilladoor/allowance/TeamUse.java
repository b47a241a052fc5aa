package org.vanilladoor.allowance;

import java.util.ArrayList;
import java.util.List;

/** What the requests of a team cost that ran, by when callers sent them. */
final class TeamUse {
    /** A lowered limit is binding one window after all processes have it, which takes 3 s. */
    private static final long CONFIGURATION_MILLIS = 3_000;

    private static final long STEP_MILLIS = SimulatedAllowances.STEP_MILLIS;
    private final AllowanceTolerance mTolerance;
    private final List<Double> mRunCosts = new ArrayList<>();
    private final List<Limit> mLimits = new ArrayList<>();
    private int mRun;
    private int mRefused;

    TeamUse(AllowanceTolerance tolerance) {
        mTolerance = tolerance;
    }

    void setAllowance(Allowance allowance, long millis) {
        mLimits.add(new Limit(mTolerance.bound(allowance), millis));
    }

    void addRun(long sentMillis, double cost) {
        int step = (int) (sentMillis / STEP_MILLIS);
        while (mRunCosts.size() <= step) {
            mRunCosts.add(0.0);
        }
        mRunCosts.set(step, mRunCosts.get(step) + cost);
        mRun++;
    }

    void addRefused(long sentMillis) {
        mRefused++;
    }

    int run() {
        return mRun;
    }

    int refused() {
        return mRefused;
    }

    /** Returns the largest share of its bound that was used in a window. */
    double highestPartOfBound() {
        int steps = (int) (mTolerance.windowMillis() / STEP_MILLIS);
        double used = 0;
        double highest = 0;
        for (int i = 0; i < mRunCosts.size(); i++) {
            used += mRunCosts.get(i);
            used -= i >= steps ? mRunCosts.get(i - steps) : 0;
            highest = Math.max(highest, used / bound((i + 1L) * STEP_MILLIS));
        }
        return highest;
    }

    /** Returns the highest bound that may apply to the window up to this time. */
    private double bound(long endMillis) {
        long fromMillis = endMillis - 2 * mTolerance.windowMillis() - CONFIGURATION_MILLIS;
        double bound = 0;
        for (int i = 0; i < mLimits.size(); i++) {
            boolean hasEnded =
                    i + 1 < mLimits.size() && mLimits.get(i + 1).fromMillis() < fromMillis;
            boolean hasBegun = mLimits.get(i).fromMillis() < endMillis;
            bound = hasBegun && !hasEnded ? Math.max(bound, mLimits.get(i).bound()) : bound;
        }
        return bound;
    }

    /** The bound of an allowance that came into force. */
    private record Limit(double bound, long fromMillis) {}
}
