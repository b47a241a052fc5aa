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
 * Measures the size of a configuration and of a change to it against the number of teams.
 *
 * <p>Stateless.
 */
public final class ConfigurationSlope {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1_048_576.0;

    private ConfigurationSlope() {}

    /** Prints a row for each number of teams, with one key each. */
    public static void run(PrintStream output) {
        output.println("teams  all-parts-bytes  change-bytes  assemble-ms  heap-MB");
        for (int teams : new int[] {8, 430, 4_300}) {
            measure(teams, output);
        }
    }

    private static void measure(int count, PrintStream output) {
        List<Team> teams = new ArrayList<>();
        List<KeyRecord> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            teams.add(new Team("team-" + i, 1, List.of("chat", "reading"), true));
            keys.add(IssuedKey.create("team-" + i, Identifiers.secureRandom()).record());
        }
        long heapBefore = heap();
        Targets targets =
                Targets.of(List.of(), teams, List.of(), List.of(), Targets.Limits.standard());
        Configuration base = Configuration.of(1, List.of("a"), targets, keys);
        double heap = (heap() - heapBefore) / BYTES_PER_MEGABYTE;
        long all = base.partsByDigest().values().stream().mapToLong(part -> part.length).sum();
        Configuration next = base.withKey(keys.get(0).asWithdrawn(), "b");
        long changed = Json.write(next.head()).length;
        for (var part : next.partsByDigest().entrySet()) {
            boolean known = base.partsByDigest().containsKey(part.getKey());
            changed += known ? 0 : part.getValue().length;
        }
        long begin = System.nanoTime();
        Configuration.assemble(next.head(), next.partsByDigest()::get);
        double millis = (System.nanoTime() - begin) / NANOS_PER_MILLI;
        output.printf("%5d  %15d  %12d  %11.1f  %7.2f%n", count, all, changed, millis, heap);
    }

    private static long heap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
