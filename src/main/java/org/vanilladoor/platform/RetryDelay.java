package org.vanilladoor.platform;

import java.util.random.RandomGenerator;

/**
 * The delay before a failed call to the store is made again.
 *
 * <p>Responds to a store that refuses or doesn't answer all VMs for seconds. Invariant: a delay is
 * random, between {@link #MINIMUM_MILLIS} and {@link #MAXIMUM_MILLIS}, and up to twice as long
 * after each further failure. Confined to the control thread.
 */
final class RetryDelay {
    /** Shortest delay, after the first failure. */
    static final int MINIMUM_MILLIS = 100;

    /**
     * Longest delay. A store that is back is found by all VMs within the seconds in which
     * configurations and keys have to take effect.
     */
    static final int MAXIMUM_MILLIS = 800;

    private final RandomGenerator mRandom;
    private int mShortestMillis = MINIMUM_MILLIS;

    private RetryDelay(RandomGenerator random) {
        mRandom = random;
    }

    static RetryDelay create(RandomGenerator random) {
        return new RetryDelay(random);
    }

    /** Returns the delay after a failed call, and doubles the next one up to the limit. */
    int afterFailure() {
        int delayMillis = mShortestMillis + mRandom.nextInt(mShortestMillis);
        mShortestMillis = Math.min(2 * mShortestMillis, MAXIMUM_MILLIS / 2);
        return delayMillis;
    }

    /** Makes the next delay the shortest again. */
    void recordSuccess() {
        mShortestMillis = MINIMUM_MILLIS;
    }
}
