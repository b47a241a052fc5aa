package org.vanilladoor.gateway;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.vanilladoor.transport.ConnectionAnomaly;

/**
 * Counters and latencies of requests, kept in a metric registry.
 *
 * <p>Safe for use by any thread.
 */
public final class GatewayMetrics {
    private static final int RESERVOIR_SAMPLES = 256;
    private static final double RESERVOIR_DECAY_FACTOR = 0.015;
    private final MetricRegistry mRegistry;

    private GatewayMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Returns metrics that are registered in the given registry. */
    public static GatewayMetrics create(MetricRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Increments the counter with the given name. */
    public void count(String name) {
        mRegistry.counter(name).inc();
    }

    /** Adds to the counter with the given name for one team, which is shown as a label. */
    public void addForTeam(String name, String team, long amount) {
        String label = team.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        mRegistry.counter(name + "{team=\"" + label + "\"}").inc(amount);
    }

    /** Counts a request that the gateway refused. */
    public void countRefusal(Refusal refusal) {
        count("requests.refused." + refusal.name().toLowerCase(Locale.ROOT));
    }

    /** Counts a connection whose peer mixed up its responses. */
    public void countAnomaly(ConnectionAnomaly anomaly) {
        count("connections." + anomaly.name().toLowerCase(Locale.ROOT));
    }

    /** Counts a call to an endpoint, which may turn out to be undelivered. */
    void countCall(EndpointCall.Stage stage) {
        count("calls." + stage.name().toLowerCase(Locale.ROOT));
    }

    /** Records how long a call took to the first part of its result, beside what was expected. */
    void recordCallTime(EndpointCall.Stage stage, double expectedMillis, long tookMillis) {
        recordDuration("calls.expected_millis." + stage, Math.round(expectedMillis));
        recordDuration("calls.took_millis." + stage, tookMillis);
        recordDuration(
                "calls.error_millis." + stage, Math.round(Math.abs(tookMillis - expectedMillis)));
    }

    /** Adds a duration in milliseconds to the histogram with the given name. */
    public void recordDuration(String name, long millis) {
        mRegistry
                .histogram(
                        name,
                        () ->
                                new Histogram(
                                        new ExponentiallyDecayingReservoir(
                                                RESERVOIR_SAMPLES, RESERVOIR_DECAY_FACTOR)))
                .update(millis);
    }
}
