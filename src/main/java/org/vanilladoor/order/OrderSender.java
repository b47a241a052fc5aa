package org.vanilladoor.order;

import java.util.concurrent.CompletableFuture;

/**
 * Sends orders to endpoints.
 *
 * <p>Implementations send each order at most once and never retry it. Safe for use by any thread.
 */
public interface OrderSender {
    /** Sends an order; completes with its result. */
    CompletableFuture<Result> send(OpenOrder order);

    /** Results of sending an order. */
    enum Result {
        /** The target applied it. */
        APPLIED,
        /** The target refused it because its term is outdated. */
        REFUSED_FOR_TERM,
        /** Nothing was sent. */
        NOT_SENT,
        /** The target may or may not have received it. */
        UNKNOWN
    }
}
