package org.vanilladoor.fleet;

/**
 * The interval at which each VM polls the store for changes of the endpoints, and so the longest
 * time until it notices one.
 *
 * <p>Altogether, endpoints update their entries several times a second; without a minimum interval,
 * each update would cause a request from every VM. Stateless and safe for use by any thread.
 */
public final class EndpointPollInterval {
    /** Shortest interval between polls in milliseconds. */
    private static final long MINIMUM_MILLIS = 500;

    /**
     * Longest interval in milliseconds; a leaving endpoint has to be noticed within two seconds.
     */
    private static final long MAXIMUM_MILLIS = 1_000;

    /**
     * Interval per VM in milliseconds, so that the store's load does not grow with their number.
     */
    private static final long MILLIS_PER_VM = 8;

    private EndpointPollInterval() {}

    /**
     * Returns the interval between polls in milliseconds, for a fleet with the given number of VMs.
     */
    public static long millis(int vmCount) {
        return Math.max(MINIMUM_MILLIS, Math.min(MAXIMUM_MILLIS, vmCount * MILLIS_PER_VM));
    }
}
