package org.vanilladoor.provider;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's interfaces besides its object API.
 *
 * <p>Futures fail with {@link StoreUnavailableException} where no answer came. Safe for use by any
 * thread.
 *
 * @see ObjectStore
 */
public interface Platform {
    /** Returns the endpoints that run or are about to go. */
    CompletableFuture<List<EndpointDescription>> listEndpoints();

    /** Returns the entry VMs; the list lags. */
    CompletableFuture<List<VirtualMachine>> listVirtualMachines();

    /** Sends one usage report; completes once the platform has it. */
    CompletableFuture<Void> sendUsageReport(UsageReport report);

    /** Returns the reports that the platform holds of one window. */
    CompletableFuture<List<UsageReport>> listUsageReports(long window);

    /** Sends one order for endpoints, once. */
    CompletableFuture<Void> sendFleetOrder(FleetOrder order);

    /** Returns the identifiers of the orders that reached the platform for a failure domain. */
    CompletableFuture<List<String>> listOrderIdentifiers(String failureDomain);
}
