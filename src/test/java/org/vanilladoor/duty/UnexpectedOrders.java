package org.vanilladoor.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/** Fails at every call; tests override those that they expect. */
class UnexpectedOrders implements FleetOrders {
    @Override
    public CompletableFuture<Void> report(
            long window, Map<String, Long> counts, Authority authority) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<EngineReport> report(Endpoint engine) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> announce(Endpoint engine, EngineRole role, boolean changing) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long accepted, Authority authority) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> scale(FleetOrder order, Authority authority) {
        throw new UnsupportedOperationException();
    }
}
