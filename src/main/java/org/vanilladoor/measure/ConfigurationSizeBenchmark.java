package org.vanilladoor.measure;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.key.IssuedKey;
import org.vanilladoor.key.KeyRecord;

/**
 * Measures how the size of a configuration, of one change to it and its heap use grow with the
 * number of teams.
 *
 * <p>Stateless.
 */
public final class ConfigurationSizeBenchmark {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1_048_576.0;

    private ConfigurationSizeBenchmark() {}

    /**
     * Measures configurations with several numbers of teams, one key per team, and prints a row for
     * each.
     */
    public static void run(PrintStream output) {
        output.println("teams  all-parts-bytes  change-bytes  assemble-ms  heap-MB");
        for (int teams : new int[] {8, 430, 4_300}) {
            measure(teams, output);
        }
    }

    private static void measure(int teamCount, PrintStream output) {
        List<Team> teams = new ArrayList<>();
        List<KeyRecord> keys = new ArrayList<>();
        for (int i = 0; i < teamCount; i++) {
            teams.add(new Team("team-" + i, 1, List.of("chat", "reading"), true));
            keys.add(IssuedKey.create("team-" + i, Identifiers.secureRandom()).record());
        }
        long heapBytesBefore = usedHeapBytes();
        Targets targets =
                Targets.of(List.of(), teams, List.of(), List.of(), Targets.Limits.standard());
        Configuration base = Configuration.of(1, List.of("a"), targets, keys);
        double heapMegabytes = (usedHeapBytes() - heapBytesBefore) / BYTES_PER_MEGABYTE;
        long allPartsBytes =
                base.partsByDigest().values().stream().mapToLong(part -> part.length).sum();
        Configuration changedConfiguration = base.withKey(keys.get(0).asWithdrawn(), "b");
        long changeBytes = Json.write(changedConfiguration.head()).length;
        for (var part : changedConfiguration.partsByDigest().entrySet()) {
            boolean isInBase = base.partsByDigest().containsKey(part.getKey());
            changeBytes += isInBase ? 0 : part.getValue().length;
        }
        long startNanos = System.nanoTime();
        Configuration.assemble(
                changedConfiguration.head(), changedConfiguration.partsByDigest()::get);
        double assembleMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        output.printf(
                "%5d  %15d  %12d  %11.1f  %7.2f%n",
                teamCount, allPartsBytes, changeBytes, assembleMillis, heapMegabytes);
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
