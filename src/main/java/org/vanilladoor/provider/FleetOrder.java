package org.vanilladoor.provider;

import java.util.Objects;

/**
 * An order to the platform to start or release endpoints of a pool in a failure domain.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier of the order
 * @param term term of the lease under which the order was written
 * @param sender incarnation of the process that sends it
 * @param failureDomain failure domain whose endpoints are to change
 * @param pool name of the model or service
 * @param reclaimable whether the order is for cheaper endpoints that may be reclaimed
 * @param count number of such endpoints that are to run, 0 or more
 */
public record FleetOrder(
        String identifier,
        long term,
        String sender,
        String failureDomain,
        String pool,
        boolean reclaimable,
        int count) {
    public FleetOrder {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(pool, "pool");
        if (count < 0) {
            throw new IllegalArgumentException("count is negative: " + count);
        }
    }
}
