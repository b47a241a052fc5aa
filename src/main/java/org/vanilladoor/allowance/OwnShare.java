package org.vanilladoor.allowance;

import org.vanilladoor.common.Digests;

/**
 * What a VM that has no contact with the lease holder may use of one team's allowance: an equal
 * part of the rate and the burst, from the moment on at which the holder has ceased to count it.
 *
 * <p>If a request is larger than the part of a whole window, a hash of VM and team picks the VMs
 * that may send one. Confined to the control thread.
 */
final class OwnShare {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time after which a request is worth trying again if this VM can't send it at all. */
    private static final long RETRY_MILLIS = 2_000;

    /** The number of VMs that a hash picks varies; half of the share allows for that. */
    private static final double PICKED_PART_OF_REQUESTS = 1 / 2.0;

    /** VMs that may send large requests also send small ones up to their share. */
    private static final double PICKED_PART_OF_TOKENS = 1 / 8.0;

    /** Scales the upper 53 bits of a hash to a fraction. */
    private static final double FRACTION_UNIT = 0x1.0p-53;

    private static final int UNUSED_HASH_BITS = 11;
    private final TokenBucket mBucket = new TokenBucket(0);
    private final double mFraction;
    private long mFilledMillis;

    /**
     * Creates an empty share.
     *
     * @param sinceMillis moment from which on the share is the VM's own
     */
    OwnShare(String vm, String team, long sinceMillis) {
        String text = String.join("\u0000", "allowance", vm, team);
        mFraction = (Digests.placementHash(text) >>> UNUSED_HASH_BITS) * FRACTION_UNIT;
        mFilledMillis = sinceMillis;
    }

    /** Deducts the cost if there is room. */
    Decision tryAdmit(
            AllowanceUnit unit,
            AllowanceBudget share,
            double cost,
            AllowanceTolerance tolerance,
            long nowMillis) {
        double ofWindow = share.fillPerSecond() * tolerance.windowMillis() / MILLIS_PER_SECOND;
        double amount = share.fillPerSecond() * (nowMillis - mFilledMillis) / MILLIS_PER_SECOND;
        mBucket.fill(Math.max(0, amount), share.capacity(), ofWindow);
        mFilledMillis = Math.max(mFilledMillis, nowMillis);
        double most = share.capacity() + ofWindow;
        if (cost > most && !isPicked(unit, most / cost)) {
            return Decision.refused(RETRY_MILLIS);
        }
        double shortfall =
                cost > most
                        ? share.capacity() - mBucket.level()
                        : mBucket.shortfall(cost, share.capacity(), share.oversize());
        if (shortfall > 0) {
            double seconds = shortfall / share.fillPerSecond();
            return Decision.refused((long) Math.ceil(seconds * MILLIS_PER_SECOND));
        }
        mBucket.take(cost);
        return Decision.ADMITTED;
    }

    private boolean isPicked(AllowanceUnit unit, double part) {
        double probability =
                part
                        * (unit == AllowanceUnit.REQUESTS
                                ? PICKED_PART_OF_REQUESTS
                                : PICKED_PART_OF_TOKENS);
        return mFraction < probability;
    }
}
