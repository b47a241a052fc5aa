package org.vanilladoor.measure;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.entry.Entry;

/**
 * Measures the processor time, heap and platform calls of idle entries, for several numbers of
 * entries in one process.
 *
 * <p>The stand-ins run in the same process, so the processor time and heap per entry are upper
 * bounds. Stateless.
 */
public final class EntryCostBenchmark {
    private static final long SETTLE_MILLIS = 12_000;
    private static final long MEASURE_MILLIS = 10_000;
    private static final double BYTES_PER_MEGABYTE = 1_048_576.0;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private EntryCostBenchmark() {}

    /** Measures deployments with the given numbers of entries and prints a row for each. */
    public static void run(int[] entryCounts, PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        output.println("entries  core-share/entry  heap-MB/entry  platform-calls/s  by kind");
        for (int entryCount : entryCounts) {
            try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, entryCount)) {
                sleep(SETTLE_MILLIS);
                measure(fleet, entryCount, output);
            }
        }
    }

    private static void measure(LocalFleet fleet, int entryCount, PrintStream output) {
        Map<String, Long> callsBefore = platformCallsByKind(fleet);
        long processorNanosBefore = processorNanos();
        long startNanos = System.nanoTime();
        sleep(MEASURE_MILLIS);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        double coresPerEntry =
                (processorNanos() - processorNanosBefore) / NANOS_PER_SECOND / seconds / entryCount;
        Map<String, Double> ratesByKind = new TreeMap<>();
        double totalRate = 0;
        for (Map.Entry<String, Long> entry : platformCallsByKind(fleet).entrySet()) {
            double rate =
                    (entry.getValue() - callsBefore.getOrDefault(entry.getKey(), 0L)) / seconds;
            ratesByKind.put(
                    entry.getKey().replace("platform.calls.", ""), Math.round(rate * 10) / 10.0);
            totalRate += rate;
        }
        System.gc();
        long heapBytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        output.printf(
                "%7d  %16.4f  %13.2f  %16.1f  %s%n",
                entryCount,
                coresPerEntry,
                heapBytes / BYTES_PER_MEGABYTE / entryCount,
                totalRate,
                ratesByKind);
    }

    private static Map<String, Long> platformCallsByKind(LocalFleet fleet) {
        Map<String, Long> calls = new TreeMap<>();
        for (Entry entry : fleet.entries()) {
            entry.platformCalls().forEach((kind, number) -> calls.merge(kind, number, Long::sum));
        }
        return calls;
    }

    private static long processorNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static void sleep(long millis) {
        long deadlineNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(deadlineNanos - System.nanoTime());
        }
    }
}
