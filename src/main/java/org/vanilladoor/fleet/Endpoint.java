package org.vanilladoor.fleet;

import java.util.Objects;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;

/**
 * An endpoint as it describes itself in the store.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name identity of the endpoint; the process behind an address may change, this does not
 * @param service service that it runs
 * @param address where it takes requests
 * @param failureDomain where it runs
 * @param slots requests that it serves at the same time
 * @param leaving whether it takes no new work
 * @param role role of an engine, its next one while it changes; {@link EngineRole#MIXED} for a
 *     plain service
 * @param changing whether the engine changes its role and takes no work meanwhile
 * @param reclaimable whether the platform may take it back at short notice
 * @param startMillis wall time of its start, which tells a restarted endpoint from its forerunner
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
        long startMillis) {
    public Endpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(role, "role");
    }

    /** Returns this endpoint as it is while it changes to the given role. */
    public Endpoint withRoleChange(EngineRole next) {
        return new Endpoint(
                name,
                service,
                address,
                failureDomain,
                slots,
                leaving,
                next,
                true,
                reclaimable,
                startMillis);
    }

    /** Returns whether it takes new work. */
    public boolean isUsable() {
        return !leaving && !changing;
    }
}
