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
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.transport.FrontExchange;

/**
 * Serves counters and latencies as text that scrapers read.
 *
 * <p>Safe for use by any thread.
 */
final class MetricsPage {
    /** Port of the page, as the deploy file names it. */
    static final int PORT = 9464;

    /** Path of the page, as the deploy file names it. */
    static final String PATH = "/metrics";

    private static final String PREFIX = "vanilladoor_";
    private final MetricRegistry mRegistry;

    private MetricsPage(MetricRegistry registry) {
        mRegistry = registry;
    }

    static MetricsPage create(MetricRegistry registry) {
        return new MetricsPage(registry);
    }

    void answer(FrontExchange exchange, ServingState state, int openRequests) {
        HttpResponse head = new BasicHttpResponse(HttpStatus.SC_OK);
        head.addHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.respond(head, text(state, openRequests).getBytes(StandardCharsets.UTF_8));
    }

    String text(ServingState state, int openRequests) {
        StringBuilder text = new StringBuilder();
        line(text, "ready", state.isReady() ? 1 : 0);
        line(text, "requests_open", openRequests);
        line(text, "machines_living", state.vmCount());
        line(text, "configuration_confirmation_age_millis", state.confirmationAgeMillis());
        line(
                text,
                "configuration_version",
                state.configuration().map(ServingConfiguration::version).orElse(0L));
        for (Map.Entry<String, Counter> counter : mRegistry.getCounters().entrySet()) {
            line(text, name(counter.getKey()) + "_total", counter.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> histogram : mRegistry.getHistograms().entrySet()) {
            String name = name(histogram.getKey());
            Snapshot snapshot = histogram.getValue().getSnapshot();
            line(text, name + "{quantile=\"0.5\"}", snapshot.getMedian());
            line(text, name + "{quantile=\"0.95\"}", snapshot.get95thPercentile());
            line(text, name + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            line(text, name + "_count", histogram.getValue().getCount());
        }
        return text.toString();
    }

    private static String name(String name) {
        return name.toLowerCase(Locale.ROOT).replace('.', '_');
    }

    private static void line(StringBuilder text, String name, double value) {
        text.append(PREFIX).append(name).append(' ');
        if (value == Math.rint(value)) {
            text.append((long) value);
        } else {
            text.append(value);
        }
        text.append('\n');
    }
}
