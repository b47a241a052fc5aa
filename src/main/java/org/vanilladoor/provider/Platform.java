package org.vanilladoor.provider;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's API for endpoints, VMs, usage reports and orders.
 *
 * <p>Futures fail with {@link StoreUnavailableException} if no response arrived or the platform
 * refused the call. Safe for use by any thread.
 *
 * @see ObjectStore
 */
public interface Platform {
    /** Lists the endpoints that run, including those about to leave. */
    CompletableFuture<List<EndpointDescription>> listEndpoints();

    /** Lists the entry VMs; the list may be out of date. */
    CompletableFuture<List<VirtualMachine>> listVirtualMachines();

    /** Sends a usage report; completes when the platform has acknowledged it. */
    CompletableFuture<Void> sendUsageReport(UsageReport report);

    /** Lists the usage reports that the platform has received for a usage window. */
    CompletableFuture<List<UsageReport>> listUsageReports(long window);

    /** Sends an order to start or release endpoints; never retries it. */
    CompletableFuture<Void> sendFleetOrder(FleetOrder order);

    /** Lists the identifiers of the orders that the platform has received for a failure domain. */
    CompletableFuture<List<String>> listOrderIdentifiers(String failureDomain);
}
