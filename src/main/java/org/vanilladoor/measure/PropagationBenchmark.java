package org.vanilladoor.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.entry.Entry;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;

/**
 * Measures the time from the request to add a key until the changed configuration is active on
 * every entry.
 *
 * <p>Stateless.
 */
public final class PropagationBenchmark {
    private static final int CHANGES = 40;
    private static final long SETTLE_NANOS = 8_000_000_000L;
    private static final long MAXIMUM_RECORDED_MILLIS = 60_000;
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final int MAXIMUM_RESPONSE_BYTES = 1_000_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final long POLL_NANOS = 500_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private PropagationBenchmark() {}

    /**
     * Makes changes one after the other in a deployment of the current size and prints the
     * distribution of the times.
     */
    public static void run(PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        Histogram propagationMillis =
                new Histogram(MAXIMUM_RECORDED_MILLIS, HISTOGRAM_SIGNIFICANT_DIGITS);
        int entryCount = Deployment.AL_HABSI.entryCount();
        try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, entryCount);
                HttpConnectionPool connectionPool = HttpConnectionPool.create(CONNECT_TIMEOUT)) {
            LockSupport.parkNanos(SETTLE_NANOS);
            for (int i = 0; i < CHANGES; i++) {
                propagationMillis.recordValue(
                        Math.min(MAXIMUM_RECORDED_MILLIS, measureChange(fleet, connectionPool, i)));
            }
        }
        output.printf(
                "%d changes at %d entries, ms until active on all entries: p50 %d p99 %d max %d%n",
                CHANGES,
                entryCount,
                propagationMillis.getValueAtPercentile(50),
                propagationMillis.getValueAtPercentile(99),
                propagationMillis.getMaxValue());
    }

    private static long measureChange(
            LocalFleet fleet, HttpConnectionPool connectionPool, int changeIndex)
            throws IOException {
        Entry entry = fleet.entries().get(changeIndex % fleet.entries().size());
        long versionBefore = entry.configuration().version();
        HttpClientRequest request =
                new HttpClientRequest(
                        "POST",
                        "/keys?team=harbour",
                        Map.of("Authorization", "Bearer " + LocalFleet.CREDENTIAL),
                        "application/json",
                        new byte[0],
                        false);
        long startNanos = System.nanoTime();
        try (HttpClientResponse reply =
                connectionPool.send(entry.operatorAddress(), request, RESPONSE_TIMEOUT)) {
            reply.readAll(MAXIMUM_RESPONSE_BYTES);
        }
        while (fleet.entries().stream()
                .anyMatch(other -> other.configuration().version() <= versionBefore)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        return (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    }
}
