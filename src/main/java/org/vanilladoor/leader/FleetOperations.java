package org.vanilladoor.leader;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/**
 * Calls to the platform and to the endpoints that only the holder of the fleet lease makes.
 *
 * <p>Each call is sent once, and only within its permit. Futures complete on the control thread and
 * fail with {@link org.vanilladoor.provider.StoreUnavailableException} if no successful response
 * arrives; the call may have taken effect by then, or may still do so.
 */
public interface FleetOperations {
    /**
     * Reports the requests that began in a usage window.
     *
     * @param window number of the usage window
     * @param counts number of requests by team
     */
    CompletableFuture<Void> reportUsage(long window, Map<String, Long> counts, FleetPermit permit);

    /** Reads the current state report of an engine. */
    CompletableFuture<EngineReport> readEngineReport(Endpoint engine);

    /**
     * Announces the role of an engine to all VMs.
     *
     * @param role its role; during a change, the role that it changes to
     * @param changing whether it is changing its role and accepts no work
     */
    CompletableFuture<Void> announceRole(
            Endpoint engine, EngineRole role, boolean changing, FleetPermit permit);

    /**
     * Orders an engine to change its role.
     *
     * @param acceptedOrders number of orders that the engine has accepted so far; it rejects this
     *     one if the number has increased since
     */
    CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long acceptedOrders, FleetPermit permit);

    /**
     * Orders the platform to run a given number of endpoints.
     *
     * @return whether the platform can provide them
     */
    CompletableFuture<Boolean> scale(ScaleOrder order, FleetPermit permit);

    /**
     * An order for a number of endpoints of one kind in one failure domain.
     *
     * @param service name of the service that they run
     * @param failureDomain failure domain in which they run
     * @param count total number of endpoints of this kind that are to run
     * @param reclaimable whether the platform may reclaim them
     */
    record ScaleOrder(String service, String failureDomain, int count, boolean reclaimable) {}

    /**
     * State that an engine reports; a few hundred milliseconds old.
     *
     * @param role its role
     * @param busy whether it is carrying out an order
     * @param acceptedOrders number of orders that it has accepted since its start
     */
    record EngineReport(EngineRole role, boolean busy, long acceptedOrders) {}
}
