package org.vanilladoor.leader;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/** Fails at every call; tests override those that they expect. */
class UnexpectedOrders implements FleetOperations {
    @Override
    public CompletableFuture<Void> reportUsage(
            long window, Map<String, Long> counts, FencingToken authority) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<EngineReport> readEngineReport(Endpoint engine) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> announceRole(
            Endpoint engine, EngineRole role, boolean changing) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long accepted, FencingToken authority) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> scale(
            FleetOperations.ScaleOrder order, FencingToken authority) {
        throw new UnsupportedOperationException();
    }
}
