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
 * Measures the time from a withdrawal's request until it is in force at the last entry.
 *
 * <p>Stateless.
 */
public final class Propagation {
    private static final int CHANGES = 40;
    private static final long SETTLE_NANOS = 8_000_000_000L;
    private static final long LARGEST_MILLIS = 60_000;
    private static final long POLL_NANOS = 500_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private Propagation() {}

    /** Makes changes one after the other at a deployment of today's size and prints the times. */
    public static void run(PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.targets());
        Histogram times = new Histogram(LARGEST_MILLIS, 3);
        int entries = Deployment.AL_HABSI.entries();
        try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, entries);
                HttpConnectionPool links = HttpConnectionPool.create(Duration.ofSeconds(2))) {
            LockSupport.parkNanos(SETTLE_NANOS);
            for (int i = 0; i < CHANGES; i++) {
                times.recordValue(Math.min(LARGEST_MILLIS, changeOnce(fleet, links, i)));
            }
        }
        output.printf(
                "%d changes at %d entries, ms until in force at the last: p50 %d p99 %d max %d%n",
                CHANGES,
                entries,
                times.getValueAtPercentile(50),
                times.getValueAtPercentile(99),
                times.getMaxValue());
    }

    private static long changeOnce(LocalFleet fleet, HttpConnectionPool links, int number)
            throws IOException {
        Entry entry = fleet.entries().get(number % fleet.entries().size());
        long version = entry.configuration().version();
        HttpClientRequest request =
                new HttpClientRequest(
                        "POST",
                        "/keys?team=harbour",
                        Map.of("Authorization", "Bearer " + LocalFleet.CREDENTIAL),
                        "application/json",
                        new byte[0],
                        false);
        long begin = System.nanoTime();
        try (HttpClientResponse reply =
                links.send(entry.operatorAddress(), request, Duration.ofSeconds(10))) {
            reply.readAll(1_000_000);
        }
        while (fleet.entries().stream().anyMatch(e -> e.configuration().version() <= version)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        return (long) ((System.nanoTime() - begin) / NANOS_PER_MILLI);
    }
}
