package org.vanilladoor.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.transport.FrontExchange;

/**
 * Serves the process's counters and latencies in the Prometheus text format.
 *
 * <p>Safe for use by any thread.
 */
final class MetricsPage {
    /** Port of the page, which the deploy file states to the platform. */
    static final int PORT = 9464;

    /** Path of the page, which the deploy file states to the platform. */
    static final String PATH = "/metrics";

    private static final String PREFIX = "vanilladoor_";
    private final MetricRegistry mRegistry;
    private final MemoryBudget mMemory;

    private MetricsPage(MetricRegistry registry, MemoryBudget memory) {
        mRegistry = registry;
        mMemory = memory;
    }

    static MetricsPage create(MetricRegistry registry, MemoryBudget memory) {
        return new MetricsPage(registry, memory);
    }

    /** Responds to a request for the page. */
    void respond(FrontExchange exchange, ServingState state, int openRequests) {
        HttpResponse head = new BasicHttpResponse(HttpStatus.SC_OK);
        head.addHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.respond(head, render(state, openRequests).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the page's current content. */
    String render(ServingState state, int openRequests) {
        StringBuilder page = new StringBuilder();
        appendLine(page, "ready", state.isReady() ? 1 : 0);
        appendLine(page, "requests_open", openRequests);
        appendLine(page, "machines_living", state.vmCount());
        appendLine(page, "configuration_confirmation_age_millis", state.confirmationAgeMillis());
        appendLine(
                page,
                "configuration_version",
                state.configuration().map(ServingConfiguration::version).orElse(0L));
        appendLine(page, "memory_capacity_bytes", mMemory.capacityBytes());
        for (MemoryBudget.Use use : MemoryBudget.Use.values()) {
            appendLine(
                    page,
                    "memory_held_bytes{use=\"" + use.name().toLowerCase(Locale.ROOT) + "\"}",
                    mMemory.heldBytes(use));
            appendLine(
                    page,
                    "memory_rejections_total{use=\"" + use.name().toLowerCase(Locale.ROOT) + "\"}",
                    mMemory.rejections(use));
        }
        for (Map.Entry<String, Counter> counter : mRegistry.getCounters().entrySet()) {
            appendLine(page, counterName(counter.getKey()), counter.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> histogram : mRegistry.getHistograms().entrySet()) {
            String name = metricName(histogram.getKey());
            Snapshot snapshot = histogram.getValue().getSnapshot();
            appendLine(page, name + "{quantile=\"0.5\"}", snapshot.getMedian());
            appendLine(page, name + "{quantile=\"0.95\"}", snapshot.get95thPercentile());
            appendLine(page, name + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            appendLine(page, name + "_count", histogram.getValue().getCount());
        }
        return page.toString();
    }

    /** Labels, which follow the name in braces, are kept as they are. */
    private static String counterName(String registeredName) {
        int brace = registeredName.indexOf('{');
        int end = brace < 0 ? registeredName.length() : brace;
        return metricName(registeredName.substring(0, end))
                + "_total"
                + registeredName.substring(end);
    }

    private static String metricName(String registeredName) {
        return registeredName.toLowerCase(Locale.ROOT).replace('.', '_');
    }

    private static void appendLine(StringBuilder page, String name, double value) {
        page.append(PREFIX).append(name).append(' ');
        if (value == Math.rint(value)) {
            page.append((long) value);
        } else {
            page.append(value);
        }
        page.append('\n');
    }
}
