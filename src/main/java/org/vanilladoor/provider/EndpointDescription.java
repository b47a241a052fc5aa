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
 * @param failureDomain failure domain in which it runs
 * @param address address on which it serves requests, {@code host:port}
 * @param reclaimable whether it is cheaper capacity that the platform may reclaim
 * @param checksTerms whether it rejects orders whose lease term is out of date
 * @param leaving whether it is about to be reclaimed or stopped
 * @param costPerHour cost per hour while it runs, in the platform's currency
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
