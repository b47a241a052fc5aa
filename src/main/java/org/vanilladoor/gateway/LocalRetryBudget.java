package org.vanilladoor.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This VM's share of the retries that all VMs together may send to a service.
 *
 * <p>In any window, a VM sends at most a fixed ratio of its own first attempts in that window, plus
 * its share of a fixed number of extra retries. The shares of all VMs add up to no more than the
 * total budget, so the VMs need not communicate. A process has no share of the extra retries in its
 * first window, since an earlier process of its VM may have used it. Time is passed in as an
 * argument. Confined to the control thread.
 */
public final class LocalRetryBudget {
    /**
     * Fraction of the extra retries that is distributed among the VMs. The rest is kept back, since
     * the number of VMs is known only with a delay.
     */
    private static final double DISTRIBUTED_FRACTION_OF_EXTRA = 0.8;

    private final Deque<Long> mFirstAttempts = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();
    private final double mRatio;
    private final double mExtra;
    private final long mWindowMillis;
    private final long mStartMillis;

    private LocalRetryBudget(double ratio, double extra, long windowMillis, long startMillis) {
        mRatio = ratio;
        mExtra = extra;
        mWindowMillis = windowMillis;
        mStartMillis = startMillis;
    }

    /**
     * Returns the budget of a VM that has sent nothing yet.
     *
     * @param ratio retries allowed for each first attempt
     * @param extra additional retries allowed for all VMs together in one window
     * @param windowMillis length of the window
     * @param startMillis start of this process
     */
    public static LocalRetryBudget create(
            double ratio, double extra, long windowMillis, long startMillis) {
        return new LocalRetryBudget(ratio, extra, windowMillis, startMillis);
    }

    /** Counts the first attempt of a request. */
    public void recordFirstAttempt(long nowMillis) {
        removeExpired(mFirstAttempts, nowMillis);
        mFirstAttempts.add(nowMillis);
    }

    /**
     * Takes one retry from the budget, if the budget allows it.
     *
     * @param vmCount number of VMs that may be sending requests
     * @return whether the retry may be sent
     */
    public boolean tryAcquireRetry(int vmCount, long nowMillis) {
        removeExpired(mFirstAttempts, nowMillis);
        removeExpired(mRetries, nowMillis);
        double extra =
                nowMillis - mStartMillis < mWindowMillis
                        ? 0
                        : DISTRIBUTED_FRACTION_OF_EXTRA * mExtra / Math.max(1, vmCount);
        double allowed = mRatio * mFirstAttempts.size() + extra;
        if (mRetries.size() + 1 > allowed) {
            return false;
        }
        mRetries.add(nowMillis);
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - mWindowMillis) {
            times.pollFirst();
        }
    }
}
