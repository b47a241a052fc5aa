package org.vanilladoor.route;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A service as the operator defines it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the service
 * @param maximumConnections connections that one endpoint accepts from all VMs together
 * @param engine what its engines are like, if it is a model service
 * @param scaling how many endpoints may be ordered, if any
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
     * What a model service's engines are like.
     *
     * @param slots requests generated at the same time
     * @param memoryTokens tokens that fit into the memory
     * @param roleChangeMillis how long an engine is away while it changes its role
     */
    public record EngineDefinition(int slots, long memoryTokens, long roleChangeMillis) {}

    /**
     * How many endpoints may be ordered.
     *
     * @param minimum least number in each failure domain
     * @param maximum largest number in each failure domain
     * @param startMillis time until an ordered endpoint serves
     * @param reclaimablePrice price of a reclaimable endpoint as a share of a steady one's
     * @param prices price of an endpoint a second, by failure domain
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
