package org.vanilladoor.standin;

import java.util.List;

/**
 * The requests and orders that a stand-in endpoint has received, for tests to check.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requests identifiers of all requests, in order of arrival
 * @param idempotencyKeys idempotency keys of calls to a plain service, in order of arrival
 * @param credentials distinct values of the {@code Authorization} header
 * @param orders role change orders that were applied, in order of arrival
 * @param refusedOrders orders that were refused because their term was outdated
 * @param cut number of requests that were aborted by a role change of the engine
 * @param cancelled number of streamed responses that ended early with an I/O error, such as a
 *     caller that disconnected, while {@code cutAfterTokens} of {@link EngineFaults} was 0
 */
public record EndpointRecord(
        List<String> requests,
        List<String> idempotencyKeys,
        List<String> credentials,
        List<RoleOrder> orders,
        List<RoleOrder> refusedOrders,
        int cut,
        int cancelled) {
    public EndpointRecord {
        requests = List.copyOf(requests);
        idempotencyKeys = List.copyOf(idempotencyKeys);
        credentials = List.copyOf(credentials);
        orders = List.copyOf(orders);
        refusedOrders = List.copyOf(refusedOrders);
    }
}
