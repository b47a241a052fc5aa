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
 * Measures what entries cost without any calls, at several numbers of them in one process.
 *
 * <p>Stand-ins and all entries share the process, so the processor time of one entry is an upper
 * bound. Stateless.
 */
public final class EntrySlope {
    private static final long SETTLE_MILLIS = 12_000;
    private static final long MEASURE_MILLIS = 10_000;
    private static final double BYTES_PER_MEGABYTE = 1_048_576.0;
    private static final double NANOS_PER_SECOND = 1e9;

    private EntrySlope() {}

    /** Measures the given numbers of entries and prints a row for each. */
    public static void run(int[] counts, PrintStream output) throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        output.println("entries  core-share/entry  heap-MB/entry  platform-calls/s  by kind");
        for (int count : counts) {
            try (LocalFleet fleet = LocalFleet.start(Deployment.AL_HABSI, targets, count)) {
                sleep(SETTLE_MILLIS);
                measure(fleet, count, output);
            }
        }
    }

    private static void measure(LocalFleet fleet, int count, PrintStream output) {
        Map<String, Long> callsBefore = calls(fleet);
        long cpuBefore = processorNanos();
        long begin = System.nanoTime();
        sleep(MEASURE_MILLIS);
        double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
        double share = (processorNanos() - cpuBefore) / NANOS_PER_SECOND / seconds / count;
        Map<String, Double> rates = new TreeMap<>();
        double sum = 0;
        for (Map.Entry<String, Long> entry : calls(fleet).entrySet()) {
            double rate =
                    (entry.getValue() - callsBefore.getOrDefault(entry.getKey(), 0L)) / seconds;
            rates.put(entry.getKey().replace("platform.calls.", ""), Math.round(rate * 10) / 10.0);
            sum += rate;
        }
        System.gc();
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        output.printf(
                "%7d  %16.4f  %13.2f  %16.1f  %s%n",
                count, share, heap / BYTES_PER_MEGABYTE / count, sum, rates);
    }

    private static Map<String, Long> calls(LocalFleet fleet) {
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
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }
}
