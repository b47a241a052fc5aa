package org.vanilladoor.fleet;

import java.util.function.IntSupplier;

/**
 * The interval at which each VM polls the store for changes of the endpoints, and so the longest
 * time until it notices one.
 *
 * <p>Altogether, endpoints update their entries several times a second; without a minimum interval,
 * each update would cause a request from every VM. Invariant: a VM stops using a leaving endpoint
 * within the time that the operators allow for it, with more than half of that time left for the
 * response. Safe for use by any thread if the number of VMs is.
 */
public final class EndpointPollInterval {
    /** Shortest interval between polls in milliseconds. */
    private static final long MINIMUM_MILLIS = 500;

    /** Longest interval as a fraction of the time in which a leaving endpoint has to be noticed. */
    private static final double MAXIMUM_FRACTION_OF_NOTICE = 0.4;

    /**
     * Interval per VM in milliseconds, so that the store's load does not grow with their number.
     */
    private static final long MILLIS_PER_VM = 16;

    private final long mMaximumMillis;
    private final IntSupplier mVmCount;

    private EndpointPollInterval(long maximumMillis, IntSupplier vmCount) {
        mMaximumMillis = maximumMillis;
        mVmCount = vmCount;
    }

    /**
     * Returns the interval for a fleet.
     *
     * @param noticeMillis time in which a leaving endpoint has to be noticed, in milliseconds
     * @param vmCount supplies the number of VMs
     */
    public static EndpointPollInterval create(long noticeMillis, IntSupplier vmCount) {
        long maximumMillis = (long) (noticeMillis * MAXIMUM_FRACTION_OF_NOTICE);
        return new EndpointPollInterval(Math.max(MINIMUM_MILLIS, maximumMillis), vmCount);
    }

    /** Returns the interval between polls in milliseconds. */
    public long millis() {
        long scaledMillis = (long) mVmCount.getAsInt() * MILLIS_PER_VM;
        return Math.max(MINIMUM_MILLIS, Math.min(mMaximumMillis, scaledMillis));
    }
}
