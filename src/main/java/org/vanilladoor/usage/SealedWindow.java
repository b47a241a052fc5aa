package org.vanilladoor.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.common.Digests;

/**
 * The figures of one window and shard, as they are reported.
 *
 * <p>Its object is created once and never changes. Counts that arrive after it was sealed go into a
 * later window. Immutable and safe for use by any thread.
 *
 * @param window number of the window
 * @param figures figure of each team that used something
 * @param accounted counts that this and earlier windows account for, by {@link
 *     CountedWindow#toKey}, as far back as counts are kept
 */
public record SealedWindow(
        long window, Map<String, TeamCounts> figures, Map<String, TeamCounts> accounted) {
    /** Number of shards that the teams are spread over. */
    public static final int SHARDS = 4;

    public SealedWindow {
        figures = Map.copyOf(figures);
        accounted = Map.copyOf(accounted);
    }

    /** Returns the window before the first one that is sealed. */
    public static SealedWindow before(long firstWindow) {
        return new SealedWindow(firstWindow - 1, Map.of(), Map.of());
    }

    /** Returns the shard of a team. */
    public static int shardOf(String team) {
        return Math.floorMod(Digests.placementHash(team), SHARDS);
    }

    /** Returns the name of the object of a shard's window. */
    public static String objectName(int shard, long window) {
        return "usage/" + shard + "/" + String.format("%012d", window);
    }

    /**
     * Seals the next window of a shard.
     *
     * @param shard the shard
     * @param counts all counts that are known
     */
    public SealedWindow next(int shard, Map<CountedWindow, TeamCounts> counts) {
        long sealing = window + 1;
        Map<String, TeamCounts> sums = new TreeMap<>();
        Map<String, TeamCounts> marks = new HashMap<>();
        accounted.forEach(
                (key, mark) -> {
                    if (CountedWindow.ofKey(key).window() > sealing - UsageCounters.KEPT_WINDOWS) {
                        marks.put(key, mark);
                    }
                });
        counts.forEach(
                (key, count) -> {
                    boolean mine = shardOf(key.team()) == shard;
                    boolean kept = key.window() > sealing - UsageCounters.KEPT_WINDOWS;
                    if (mine && kept && key.window() <= sealing) {
                        TeamCounts before = marks.getOrDefault(key.toKey(), TeamCounts.ZERO);
                        TeamCounts now = before.max(count);
                        if (!now.equals(before)) {
                            sums.merge(key.team(), now.minus(before), TeamCounts::plus);
                            marks.put(key.toKey(), now);
                        }
                    }
                });
        return new SealedWindow(sealing, sums, marks);
    }
}
