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
 * Measures what an entry adds to lookups of a plain service, against the same calls sent straight.
 *
 * <p>All run in one process, so the ratio counts, not the times. Stateless.
 */
public final class AddedLatency {
    private static final int WARM_UP_CALLS = 4_000;
    private static final int CALLS = 10_000;
    private static final int CALLERS = 8;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long LARGEST_NANOS = 60_000_000_000L;

    private AddedLatency() {}

    /** Measures and prints a row for each way. */
    public static void run(PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.targets());
        try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, 1)) {
            ServiceStandIn service = fleet.standIns().services().values().iterator().next();
            HttpClientRequest straight = HttpClientRequest.get("/item");
            HttpClientRequest through =
                    HttpClientRequest.get("/services/ticket-desk/item")
                            .withHeader(
                                    "Authorization", "Bearer " + fleet.keyOfTeam().get("harbour"));
            HostPort entry = fleet.entries().get(0).callerAddress();
            output.println("way       calls/s   p50 ms   p99 ms");
            for (int round = 0; round < 2; round++) {
                measure("straight", service.address(), straight, output);
                measure("entry", entry, through, output);
            }
        }
    }

    private static void measure(
            String way, HostPort address, HttpClientRequest request, PrintStream output) {
        drive(address, request, WARM_UP_CALLS, new ConcurrentHistogram(LARGEST_NANOS, 3));
        Histogram times = new ConcurrentHistogram(LARGEST_NANOS, 3);
        long begin = System.nanoTime();
        drive(address, request, CALLS, times);
        double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
        output.printf(
                "%-8s %8.0f %8.2f %8.2f%n",
                way,
                CALLS / seconds,
                times.getValueAtPercentile(50) / NANOS_PER_MILLI,
                times.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }

    private static void drive(
            HostPort address, HttpClientRequest request, int calls, Histogram times) {
        ExecutorService threads = ThreadPools.newDaemonThreadPool("measure");
        try (HttpConnectionPool links = HttpConnectionPool.create(Duration.ofSeconds(2))) {
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(
                        CompletableFuture.runAsync(
                                () -> call(links, address, request, calls / CALLERS, times),
                                threads));
            }
            callers.forEach(CompletableFuture::join);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void call(
            HttpConnectionPool links,
            HostPort address,
            HttpClientRequest request,
            int calls,
            Histogram times) {
        for (int i = 0; i < calls; i++) {
            long begin = System.nanoTime();
            try (HttpClientResponse reply = links.send(address, request, Duration.ofSeconds(10))) {
                reply.readAll(1_000_000);
                if (reply.status() != 200) {
                    throw new IOException("answered " + reply.status());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            times.recordValue(System.nanoTime() - begin);
        }
    }
}
