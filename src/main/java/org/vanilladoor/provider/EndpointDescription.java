package org.vanilladoor.provider;

import java.util.Objects;
import org.vanilladoor.common.HostPort;

/**
 * An endpoint as the platform lists it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name unique name
 * @param pool name of the model or service it serves
 * @param engine whether it is a model engine rather than a plain service
 * @param failureDomain failure domain it runs in
 * @param address where it answers, {@code host:port}
 * @param reclaimable whether it is a cheaper one that the platform may take back
 * @param checksTerms whether it refuses orders with an old term
 * @param leaving whether it is about to go
 * @param costPerHour what it costs while it runs
 */
public record EndpointDescription(
        String name,
        String pool,
        boolean engine,
        String failureDomain,
        String address,
        boolean reclaimable,
        boolean checksTerms,
        boolean leaving,
        double costPerHour) {
    public EndpointDescription {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(address, "address");
    }

    /** Returns the parsed address. */
    public HostPort hostPort() {
        return HostPort.parse(address);
    }
}
