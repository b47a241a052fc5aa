package org.vanilladoor.allowance;

/**
 * Units that are saved up to a capacity.
 *
 * <p>A request larger than the capacity is granted once the bucket is full and has been full for
 * long enough that what flowed over covers the rest. It leaves the bucket in debt. So in any time
 * at most the capacity and the fill of that time are taken, and the overdraft that the budget
 * allows. Confined to one thread.
 */
final class TokenBucket {
    private double mLevel;
    private double mOverflow;

    TokenBucket(double level) {
        mLevel = level;
    }

    double level() {
        return mLevel;
    }

    /**
     * Adds units.
     *
     * @param amount units to add
     * @param capacity units that may be saved up now; a higher level is cut
     * @param overflowLimit most that is remembered of what the bucket can't hold
     */
    void fill(double amount, double capacity, double overflowLimit) {
        double filled = Math.min(mLevel, capacity) + amount;
        mLevel = Math.min(filled, capacity);
        mOverflow = Math.min(mOverflow + filled - mLevel, overflowLimit);
    }

    /**
     * Adds units that were taken and not used; the caller knows that they were not filled since.
     */
    void putBack(double amount) {
        mLevel += amount;
    }

    /** Returns the units that have to be filled before a request of this cost is granted. */
    double shortfall(double cost, double capacity, double oversize) {
        if (cost <= capacity) {
            return Math.max(0, cost - mLevel);
        }
        double wantedLevel = Math.min(capacity, Math.max(cost - oversize, capacity / 2));
        double wantedOverflow = cost - oversize - capacity - mOverflow;
        return wantedOverflow > 0
                ? Math.max(0, capacity - mLevel) + wantedOverflow
                : Math.max(0, wantedLevel - mLevel);
    }

    void take(double amount) {
        mLevel -= amount;
        mOverflow = 0;
    }
}
