package org.vanilladoor.usage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Usage counts of this process and copies of the counts of other processes.
 *
 * <p>Invariant: figures never decrease, so copies can be merged in any order and any number of
 * times. Safe for use by any thread.
 */
public final class UsageCounters {
    /** Number of windows, including the newest one, whose counts are retained. */
    public static final int RETAINED_WINDOWS = 120;

    private final String mIncarnation;
    private final Map<UsageCountKey, TeamCounts> mCounts = new HashMap<>();
    private final Set<UsageCountKey> mChanged = new HashSet<>();
    private long mNewestWindow;

    private UsageCounters(String incarnation) {
        mIncarnation = incarnation;
    }

    /** Returns empty counters for a process with the given incarnation. */
    public static UsageCounters create(String incarnation) {
        return new UsageCounters(incarnation);
    }

    /** Adds usage that this process served. */
    public synchronized void add(long window, String team, TeamCounts counts) {
        UsageCountKey key = new UsageCountKey(mIncarnation, window, team);
        mCounts.merge(key, counts, TeamCounts::plus);
        mChanged.add(key);
        removeExpired(window);
    }

    /** Merges a copy of counts of any process. */
    public synchronized void merge(UsageCountKey key, TeamCounts counts) {
        if (key.window() > mNewestWindow - RETAINED_WINDOWS) {
            mCounts.merge(key, counts, TeamCounts::max);
        }
    }

    /** Returns the counts of this process that have changed since the last call of this method. */
    public synchronized Map<UsageCountKey, TeamCounts> takeChanged() {
        Map<UsageCountKey, TeamCounts> changed = new HashMap<>();
        mChanged.forEach(key -> changed.put(key, mCounts.getOrDefault(key, TeamCounts.ZERO)));
        mChanged.clear();
        return changed;
    }

    /** Marks counts whose copies did not arrive as changed, so that they are sent again. */
    public synchronized void markChanged(Set<UsageCountKey> keys) {
        mChanged.addAll(keys);
    }

    /** Returns a copy of all counts. */
    public synchronized Map<UsageCountKey, TeamCounts> snapshot() {
        return Map.copyOf(mCounts);
    }

    private void removeExpired(long window) {
        if (window > mNewestWindow) {
            mNewestWindow = window;
            mCounts.keySet().removeIf(key -> key.window() <= window - RETAINED_WINDOWS);
        }
    }
}
