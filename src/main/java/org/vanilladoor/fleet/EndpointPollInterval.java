package org.vanilladoor.fleet;

/**
 * How often each VM asks for news of the endpoints, and so how long such news may take.
 *
 * <p>Endpoints write their entries several times a second altogether; without a pause each write
 * would make every VM ask again. Stateless and safe for use by any thread.
 */
public final class EndpointPollInterval {
    /** Shortest time between questions; a leaving endpoint is to be known within two seconds. */
    private static final long LEAST_MILLIS = 500;

    /** Longest time between questions, for the same reason. */
    private static final long MOST_MILLIS = 1_000;

    /** Time for each VM, so that the store's load stops growing with them. */
    private static final long MILLIS_PER_MACHINE = 8;

    private EndpointPollInterval() {}

    /** Returns the time between questions in a fleet of so many VMs, in milliseconds. */
    public static long millis(int machines) {
        return Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, machines * MILLIS_PER_MACHINE));
    }
}
