package org.vanilladoor.gateway;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;

/**
 * Counters and latencies of the requests.
 *
 * <p>Safe for use by any thread.
 */
public final class GatewayMetrics {
    private static final int SAMPLES = 256;
    private static final double DECAY = 0.015;
    private final MetricRegistry mRegistry;

    private GatewayMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Returns metrics that are kept in a registry. */
    public static GatewayMetrics create(MetricRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Counts an event. */
    public void count(String name) {
        mRegistry.counter(name).inc();
    }

    /** Counts a refusal of our own. */
    public void refused(Refusal refusal) {
        count("requests.refused." + refusal.name().toLowerCase(Locale.ROOT));
    }

    /** Notes a duration in milliseconds. */
    public void duration(String name, long millis) {
        mRegistry
                .histogram(
                        name,
                        () -> new Histogram(new ExponentiallyDecayingReservoir(SAMPLES, DECAY)))
                .update(millis);
    }
}
