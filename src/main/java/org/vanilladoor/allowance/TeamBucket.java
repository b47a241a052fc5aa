package org.vanilladoor.allowance;

import java.util.Arrays;

/**
 * The lease holder's bucket of one team.
 *
 * <p>Units that a VM returns are put back as if they had never been granted: since the grant the
 * bucket would have been higher, and full sooner. They are put back only up to the room that the
 * bucket has had at all times since. Invariant: what has been granted and not returned in any time
 * is at most the capacity and the fill of that time, and the overdraft of the budget. Confined to
 * the control thread.
 */
final class TeamBucket {
    private static final long SLOT_MILLIS = 100;

    /** Longest time from a grant until its rest comes back, in slots. */
    private static final int SLOTS = (int) (AllowanceLedger.RETURN_MILLIS / SLOT_MILLIS) + 2;

    private final TokenBucket mBucket;
    private final double[] mHighest = new double[SLOTS];
    private double mFilledSeconds;
    private long mSlot;

    TeamBucket(double level, double filledSeconds, long nowMillis) {
        mBucket = new TokenBucket(level);
        mFilledSeconds = filledSeconds;
        mSlot = nowMillis / SLOT_MILLIS;
        Arrays.fill(mHighest, level);
    }

    /**
     * Fills the bucket.
     *
     * @param filledSeconds seconds for which all VMs together have lent their shares so far
     */
    void fill(
            AllowanceBudget budget,
            double capacity,
            double overflowLimit,
            double filledSeconds,
            long nowMillis) {
        double amount = (filledSeconds - mFilledSeconds) * budget.fillPerSecond();
        mFilledSeconds = filledSeconds;
        mBucket.fill(amount, capacity, overflowLimit);
        noteLevel(nowMillis);
    }

    /** The level only rises between two readings, so skipped slots get the present one. */
    private void noteLevel(long nowMillis) {
        long slot = nowMillis / SLOT_MILLIS;
        long first = Math.max(mSlot + 1, slot - SLOTS + 1);
        for (long skipped = first; skipped <= slot; skipped++) {
            mHighest[(int) (skipped % SLOTS)] = mBucket.level();
        }
        mSlot = Math.max(mSlot, slot);
        int index = (int) (mSlot % SLOTS);
        mHighest[index] = Math.max(mHighest[index], mBucket.level());
    }

    /** Puts back units that were granted within the return time. */
    void putBack(double returned, double capacity) {
        double highest = Double.NEGATIVE_INFINITY;
        for (double level : mHighest) {
            highest = Math.max(highest, level);
        }
        double amount = Math.min(returned, capacity - highest);
        if (amount > 0) {
            mBucket.putBack(amount);
            for (int i = 0; i < SLOTS; i++) {
                mHighest[i] += amount;
            }
        }
    }

    double shortfall(double needed, double capacity, double oversize) {
        return mBucket.shortfall(needed, capacity, oversize);
    }

    /** Takes what is needed, and of what else is wanted at most half of the rest. */
    double grant(double needed, double wanted) {
        double spare = Math.max(0, mBucket.level() - needed) / 2;
        double further = Math.max(0, wanted - needed);
        if (further > spare) {
            further = needed > 0 ? Math.floor(spare / needed) * needed : spare;
        }
        double granted = needed + further;
        if (granted > 0) {
            mBucket.take(granted);
        }
        return granted;
    }
}
