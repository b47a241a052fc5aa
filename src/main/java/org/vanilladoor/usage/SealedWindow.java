package org.vanilladoor.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.common.Digests;

/**
 * The usage of one usage window and shard, as it is reported.
 *
 * <p>The stored object is created once and never changes. Counts that arrive after a window was
 * sealed are included in a later window. Immutable and safe for use by any thread.
 *
 * @param window number of the window
 * @param figures usage to report, by team; teams without usage are left out
 * @param accounted counts that are included in this and earlier windows, by {@link
 *     UsageCountKey#toKey}, limited to windows whose counts are still retained
 */
public record SealedWindow(
        long window, Map<String, TeamCounts> figures, Map<String, TeamCounts> accounted) {
    /** Number of shards over which the teams are distributed. */
    public static final int SHARDS = 4;

    public SealedWindow {
        figures = Map.copyOf(figures);
        accounted = Map.copyOf(accounted);
    }

    /** Returns an empty window that precedes the first window to seal. */
    public static SealedWindow before(long firstWindow) {
        return new SealedWindow(firstWindow - 1, Map.of(), Map.of());
    }

    /** Returns the shard of a team. */
    public static int shardOf(String team) {
        return Math.floorMod(Digests.placementHash(team), SHARDS);
    }

    /** Returns the name of the stored object of a shard's window. */
    public static String objectName(int shard, long window) {
        return "usage/" + shard + "/" + String.format("%012d", window);
    }

    /**
     * Returns the next window of a shard, with all usage that is not yet accounted for.
     *
     * @param shard the shard
     * @param counts all known counts of all processes
     */
    public SealedWindow sealNext(int shard, Map<UsageCountKey, TeamCounts> counts) {
        long sealedWindow = window + 1;
        Map<String, TeamCounts> nextFigures = new TreeMap<>();
        Map<String, TeamCounts> nextAccounted = new HashMap<>();
        accounted.forEach(
                (key, count) -> {
                    if (UsageCountKey.parseKey(key).window()
                            > sealedWindow - UsageCounters.RETAINED_WINDOWS) {
                        nextAccounted.put(key, count);
                    }
                });
        counts.forEach(
                (key, count) -> {
                    boolean isInShard = shardOf(key.team()) == shard;
                    boolean isRetained =
                            key.window() > sealedWindow - UsageCounters.RETAINED_WINDOWS;
                    if (isInShard && isRetained && key.window() <= sealedWindow) {
                        TeamCounts previous =
                                nextAccounted.getOrDefault(key.toKey(), TeamCounts.ZERO);
                        TeamCounts latest = previous.max(count);
                        if (!latest.equals(previous)) {
                            nextFigures.merge(key.team(), latest.minus(previous), TeamCounts::plus);
                            nextAccounted.put(key.toKey(), latest);
                        }
                    }
                });
        return new SealedWindow(sealedWindow, nextFigures, nextAccounted);
    }
}
