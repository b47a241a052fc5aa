package org.vanilladoor.leader;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests of this process that began to run, by window and team.
 *
 * <p>Invariant: figures only grow, and only the newest windows are kept. Belongs to the control
 * thread.
 */
public final class UsageLedger {
    /** Windows that are kept; enough to report what began before an outage of half a minute. */
    private static final int KEPT_WINDOWS = 8;

    private final TreeMap<Long, Map<String, Long>> mCounts = new TreeMap<>();
    private final long mWindowMillis;

    private UsageLedger(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Returns a ledger without counts.
     *
     * @param windowMillis length of a window
     */
    public static UsageLedger create(long windowMillis) {
        return new UsageLedger(windowMillis);
    }

    /** Counts a request that began at a wall time. */
    public void began(String team, long wallMillis) {
        mCounts.computeIfAbsent(windowAt(wallMillis), window -> new TreeMap<>())
                .merge(team, 1L, Long::sum);
        while (mCounts.size() > KEPT_WINDOWS) {
            mCounts.pollFirstEntry();
        }
    }

    /** Returns the window that a wall time falls into. */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, mWindowMillis);
    }

    /** Returns the wall time at which a window ends. */
    public long endMillis(long window) {
        return (window + 1) * mWindowMillis;
    }

    /** Returns the counts of all windows that are kept. */
    public Map<Long, Map<String, Long>> counts() {
        return Map.copyOf(mCounts);
    }
}
