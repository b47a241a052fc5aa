package org.vanilladoor.leader;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that began to run in this process, by usage window and team.
 *
 * <p>Invariants: counts never decrease; only the latest windows are retained. Confined to the
 * control thread.
 */
public final class UsageCounter {
    /** Number of retained windows; enough to report requests from before a 30-second outage. */
    private static final int RETAINED_WINDOWS = 8;

    private final TreeMap<Long, Map<String, Long>> mCounts = new TreeMap<>();
    private final long mWindowMillis;

    private UsageCounter(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Creates a counter without counts.
     *
     * @param windowMillis length of a window, in milliseconds
     */
    public static UsageCounter create(long windowMillis) {
        return new UsageCounter(windowMillis);
    }

    /** Counts a request that began at a wall-clock time. */
    public void countRequest(String team, long wallMillis) {
        mCounts.computeIfAbsent(windowAt(wallMillis), window -> new TreeMap<>())
                .merge(team, 1L, Long::sum);
        while (mCounts.size() > RETAINED_WINDOWS) {
            mCounts.pollFirstEntry();
        }
    }

    /** Returns the number of the window that contains a wall-clock time. */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, mWindowMillis);
    }

    /** Returns the wall-clock time at which a window ends, in milliseconds since 1970. */
    public long windowEndMillis(long window) {
        return (window + 1) * mWindowMillis;
    }

    /** Returns the counts of the retained windows, by window and team. */
    public Map<Long, Map<String, Long>> counts() {
        return Map.copyOf(mCounts);
    }
}
