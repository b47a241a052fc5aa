package org.vanilladoor.standin;

import java.util.List;

/**
 * What reached a stand-in endpoint, for tests to judge.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requests identifiers of requests, in the order of their arrival
 * @param idempotencyKeys idempotency keys of calls that ran, in order
 * @param credentials distinct values of the authorization header
 * @param orders orders that were applied, in order
 * @param refusedOrders orders that were refused for their term
 * @param cut requests that were inside when the engine changed its role
 * @param cancelled requests whose caller left
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
