package org.vanilladoor.fleet;

import java.util.Objects;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;

/**
 * An endpoint, as described by its own entry in the store.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name that identifies the endpoint; it stays the same while the process behind an
 *     address may change
 * @param service service that the endpoint serves
 * @param address address for requests
 * @param failureDomain failure domain that it runs in
 * @param slots number of requests that it serves at the same time
 * @param leaving whether it is leaving and takes no new work
 * @param role role of an engine, during a role change the new one; {@link EngineRole#MIXED} for a
 *     plain service
 * @param changing whether a role change is in progress, during which it takes no work
 * @param reclaimable whether the platform may take it back at short notice
 * @param startMillis wall time of its start, which distinguishes it from an earlier process of the
 *     same name
 * @param version version of its software; empty if its entry has none
 */
public record Endpoint(
        String name,
        String service,
        HostPort address,
        String failureDomain,
        int slots,
        boolean leaving,
        EngineRole role,
        boolean changing,
        boolean reclaimable,
        long startMillis,
        String version) {
    public Endpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(version, "version");
    }

    /** Returns a copy of this endpoint that is changing to the given role. */
    public Endpoint withRoleChange(EngineRole newRole) {
        return new Endpoint(
                name,
                service,
                address,
                failureDomain,
                slots,
                leaving,
                newRole,
                true,
                reclaimable,
                startMillis,
                version);
    }

    /** Returns whether the endpoint takes new work. */
    public boolean isUsable() {
        return !leaving && !changing;
    }
}
