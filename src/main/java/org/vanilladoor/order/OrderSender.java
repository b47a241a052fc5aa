package org.vanilladoor.order;

import java.util.concurrent.CompletableFuture;

/**
 * Sends orders to endpoints.
 *
 * <p>Implementations send each order at most once and never repeat it. Safe for use by any thread.
 */
public interface OrderSender {
    /** Completes with what became of an order. */
    CompletableFuture<Result> send(OpenOrder order);

    /** What became of an order. */
    enum Result {
        /** The target applied it. */
        APPLIED,
        /** The target refused it for its term. */
        REFUSED_FOR_TERM,
        /** Nothing was sent. */
        NOT_SENT,
        /** It may have been received. */
        UNKNOWN
    }
}
