package org.vanilladoor.gateway;

/**
 * Decides when a refused caller is told to come back.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class RetryAfter {
    /** Maximum for a refusal that is due to load; wait queues drain in less time. */
    static final long MAXIMUM_MILLIS = 5_000;

    /** While a service has no endpoint; engines take some seconds to start. */
    static final long NO_ENDPOINT_MILLIS = 2_000;

    /** For a request whose prompt crashes engines; a repaired engine takes longer. */
    static final long QUARANTINED_MILLIS = 60_000;

    /** For a request whose prompt may be found not to crash engines; a trial takes a second. */
    static final long IN_DOUBT_MILLIS = 1_000;

    private RetryAfter() {}

    /**
     * Returns the time to wait, in milliseconds.
     *
     * @param refusal reason of the refusal
     * @param objectiveMillis the route's objective, below which no wait helps
     * @param untilRoomMillis time until an endpoint has room within its limit
     * @param drainMillis time until the requests that wait now have been dispatched
     */
    static long millis(
            Refusal refusal, long objectiveMillis, long untilRoomMillis, long drainMillis) {
        return switch (refusal) {
            case QUARANTINED -> QUARANTINED_MILLIS;
            case IN_DOUBT -> IN_DOUBT_MILLIS;
            case NO_ENDPOINT, ORIGIN_UNKNOWN -> NO_ENDPOINT_MILLIS;
            case LIMITED -> Math.max(objectiveMillis, untilRoomMillis);
            default -> Math.max(objectiveMillis, Math.min(drainMillis, MAXIMUM_MILLIS));
        };
    }
}
