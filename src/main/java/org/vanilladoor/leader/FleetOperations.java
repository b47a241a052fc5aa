package org.vanilladoor.leader;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/**
 * What the holder of the fleet's lease tells the platform and the endpoints.
 *
 * <p>Each call is sent once. Futures complete on the control thread and fail with {@link
 * org.vanilladoor.provider.StoreUnavailableException} where no good answer came; the act may have
 * taken effect then, or may yet.
 */
public interface FleetOperations {
    /**
     * Reports the requests that began in a window.
     *
     * @param window number of the window
     * @param counts requests by team
     */
    CompletableFuture<Void> reportUsage(
            long window, Map<String, Long> counts, FencingToken authority);

    /** Returns what an engine says of itself. */
    CompletableFuture<EngineReport> readEngineReport(Endpoint engine);

    /**
     * Tells all VMs which role an engine has.
     *
     * @param role its role, the next one while it changes
     * @param changing whether it changes its role and takes no work meanwhile
     */
    CompletableFuture<Void> announceRole(Endpoint engine, EngineRole role, boolean changing);

    /**
     * Orders an engine to change its role.
     *
     * @param accepted orders that it has accepted so far; it refuses if there were others meanwhile
     */
    CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long accepted, FencingToken authority);

    /**
     * Orders a number of endpoints.
     *
     * @return whether they are to be had
     */
    CompletableFuture<Boolean> scale(FleetOperations.ScaleOrder order, FencingToken authority);

    /**
     * An order for endpoints.
     *
     * @param service service that they run
     * @param failureDomain where
     * @param count how many of the kind there shall be
     * @param reclaimable the kind
     */
    record ScaleOrder(String service, String failureDomain, int count, boolean reclaimable) {}

    /**
     * What an engine says of itself; some hundred milliseconds old.
     *
     * @param role its role
     * @param busy whether an order is being carried out
     * @param accepted orders that it has accepted since its start
     */
    record EngineReport(EngineRole role, boolean busy, long accepted) {}
}
