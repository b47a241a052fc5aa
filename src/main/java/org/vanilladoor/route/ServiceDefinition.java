package org.vanilladoor.route;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A service, as defined by the operator.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the service
 * @param maximumConnections maximum number of connections to one endpoint from all VMs together
 * @param engine properties of its engines, if it is a model service
 * @param scaling limits and prices for ordering endpoints, if they may be ordered
 */
public record ServiceDefinition(
        String name,
        int maximumConnections,
        Optional<EngineDefinition> engine,
        Optional<Scaling> scaling) {
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(scaling, "scaling");
    }

    /**
     * The properties of a model service's engines.
     *
     * @param slots number of requests that an engine decodes at the same time
     * @param kvCacheTokens capacity of the KV cache in tokens
     * @param roleChangeMillis duration of a role change, during which an engine does no work
     */
    public record EngineDefinition(int slots, long kvCacheTokens, long roleChangeMillis) {}

    /**
     * The limits and prices for ordering endpoints.
     *
     * @param minimum minimum number in each failure domain
     * @param maximum maximum number in each failure domain
     * @param startMillis time from the order until an endpoint serves requests
     * @param reclaimablePrice price of a reclaimable endpoint, as a fraction of the price of one
     *     that is not
     * @param prices price of an endpoint per second, by failure domain
     */
    public record Scaling(
            int minimum,
            int maximum,
            long startMillis,
            double reclaimablePrice,
            Map<String, Double> prices) {
        public Scaling {
            prices = Map.copyOf(prices);
        }
    }
}
