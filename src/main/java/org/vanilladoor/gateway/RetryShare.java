package org.vanilladoor.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This VM's share of the repeats that a service may get from all VMs together.
 *
 * <p>In any window a VM sends at most the ratio of its own first tries in that window, and its part
 * of the fixed extra. The parts of all VMs add up to the allowed number, so no message is needed.
 * Time goes in; belongs to the control thread.
 */
public final class RetryShare {
    /** Part of the fixed extra that is dealt out, since the number of VMs is known with a lag. */
    private static final double DEALT_PART = 0.8;

    private final Deque<Long> mFirstTries = new ArrayDeque<>();
    private final Deque<Long> mRepeats = new ArrayDeque<>();
    private final double mRatio;
    private final double mExtra;
    private final long mWindowMillis;

    private RetryShare(double ratio, double extra, long windowMillis) {
        mRatio = ratio;
        mExtra = extra;
        mWindowMillis = windowMillis;
    }

    /**
     * Returns the share of a VM that has sent nothing.
     *
     * @param ratio repeats allowed for each first try
     * @param extra repeats allowed besides, for all VMs in one window
     * @param windowMillis length of the window
     */
    public static RetryShare create(double ratio, double extra, long windowMillis) {
        return new RetryShare(ratio, extra, windowMillis);
    }

    /** Counts a request's first try. */
    public void firstTry(long nowMillis) {
        forget(mFirstTries, nowMillis);
        mFirstTries.add(nowMillis);
    }

    /**
     * Counts a repeat if it is allowed.
     *
     * @param machines VMs that may be sending
     * @return whether it may be sent
     */
    public boolean tryRepeat(int machines, long nowMillis) {
        forget(mFirstTries, nowMillis);
        forget(mRepeats, nowMillis);
        double allowed = mRatio * mFirstTries.size() + DEALT_PART * mExtra / Math.max(1, machines);
        if (mRepeats.size() + 1 > allowed) {
            return false;
        }
        mRepeats.add(nowMillis);
        return true;
    }

    private void forget(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - mWindowMillis) {
            times.pollFirst();
        }
    }
}
