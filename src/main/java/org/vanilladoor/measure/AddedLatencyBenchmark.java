package org.vanilladoor.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.standin.ServiceStandIn;

/**
 * Measures the latency that an entry adds to lookups of a plain service, compared with the same
 * calls sent directly to the service.
 *
 * <p>Callers, entry and service share one process, so only the ratio of the times is meaningful,
 * not the times themselves. Stateless.
 */
public final class AddedLatencyBenchmark {
    private static final int WARM_UP_CALLS = 4_000;
    private static final int CALLS = 10_000;
    private static final int CALLERS = 8;
    private static final int REPETITIONS = 2;
    private static final int HTTP_OK = 200;
    private static final int MAXIMUM_RESPONSE_BYTES = 1_000_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MAXIMUM_RECORDED_NANOS = 60_000_000_000L;

    private AddedLatencyBenchmark() {}

    /** Measures both paths twice, in turn, and prints a row for each. */
    public static void run(PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, 1)) {
            ServiceStandIn service = fleet.standIns().services().values().iterator().next();
            HttpClientRequest directRequest = HttpClientRequest.get("/item");
            HttpClientRequest entryRequest =
                    HttpClientRequest.get("/services/ticket-desk/item")
                            .withHeader(
                                    "Authorization", "Bearer " + fleet.keysByTeam().get("harbour"));
            HostPort entry = fleet.entries().get(0).callerAddress();
            output.println("path      calls/s   p50 ms   p99 ms");
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                measure("direct", service.address(), directRequest, output);
                measure("entry", entry, entryRequest, output);
            }
        }
    }

    private static void measure(
            String path, HostPort address, HttpClientRequest request, PrintStream output) {
        sendConcurrently(
                address,
                request,
                WARM_UP_CALLS,
                new ConcurrentHistogram(MAXIMUM_RECORDED_NANOS, HISTOGRAM_SIGNIFICANT_DIGITS));
        Histogram latencies =
                new ConcurrentHistogram(MAXIMUM_RECORDED_NANOS, HISTOGRAM_SIGNIFICANT_DIGITS);
        long startNanos = System.nanoTime();
        sendConcurrently(address, request, CALLS, latencies);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        output.printf(
                "%-8s %8.0f %8.2f %8.2f%n",
                path,
                CALLS / seconds,
                latencies.getValueAtPercentile(50) / NANOS_PER_MILLI,
                latencies.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }

    private static void sendConcurrently(
            HostPort address, HttpClientRequest request, int calls, Histogram latencies) {
        ExecutorService threads = ThreadPools.newDaemonThreadPool("measure");
        try (HttpConnectionPool connectionPool = HttpConnectionPool.create(CONNECT_TIMEOUT)) {
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(
                        CompletableFuture.runAsync(
                                () ->
                                        sendInTurn(
                                                connectionPool,
                                                address,
                                                request,
                                                calls / CALLERS,
                                                latencies),
                                threads));
            }
            callers.forEach(CompletableFuture::join);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void sendInTurn(
            HttpConnectionPool connectionPool,
            HostPort address,
            HttpClientRequest request,
            int calls,
            Histogram latencies) {
        for (int i = 0; i < calls; i++) {
            long startNanos = System.nanoTime();
            try (HttpClientResponse reply =
                    connectionPool.send(address, request, RESPONSE_TIMEOUT)) {
                reply.readAll(MAXIMUM_RESPONSE_BYTES);
                if (reply.status() != HTTP_OK) {
                    throw new IOException("expected status 200, got " + reply.status());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            latencies.recordValue(System.nanoTime() - startNanos);
        }
    }
}
