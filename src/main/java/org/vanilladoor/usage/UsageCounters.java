package org.vanilladoor.usage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts of all processes, own ones and copies of others.
 *
 * <p>Invariant: each figure only grows, so copies merge in any order and any number of times. Safe
 * for use by any thread.
 */
public final class UsageCounters {
    /** Windows that are kept after their end. */
    public static final int KEPT_WINDOWS = 120;

    private final String mIncarnation;
    private final Map<UsageCountKey, TeamCounts> mCounts = new HashMap<>();
    private final Set<UsageCountKey> mChanged = new HashSet<>();
    private long mNewestWindow;

    private UsageCounters(String incarnation) {
        mIncarnation = incarnation;
    }

    /** Returns counters of a process that has counted nothing. */
    public static UsageCounters create(String incarnation) {
        return new UsageCounters(incarnation);
    }

    /** Counts work of this process. */
    public synchronized void add(long window, String team, TeamCounts counts) {
        UsageCountKey key = new UsageCountKey(mIncarnation, window, team);
        mCounts.merge(key, counts, TeamCounts::plus);
        mChanged.add(key);
        forgetBefore(window);
    }

    /** Takes in a copy of counts. */
    public synchronized void merge(UsageCountKey key, TeamCounts counts) {
        if (key.window() > mNewestWindow - KEPT_WINDOWS) {
            mCounts.merge(key, counts, TeamCounts::max);
        }
    }

    /** Takes the counts of this process that have changed since the last call. */
    public synchronized Map<UsageCountKey, TeamCounts> takeChanged() {
        Map<UsageCountKey, TeamCounts> changed = new HashMap<>();
        mChanged.forEach(key -> changed.put(key, mCounts.getOrDefault(key, TeamCounts.ZERO)));
        mChanged.clear();
        return changed;
    }

    /** Notes that copies did not arrive, so that they are taken again. */
    public synchronized void markChanged(Set<UsageCountKey> keys) {
        mChanged.addAll(keys);
    }

    /** Returns all counts. */
    public synchronized Map<UsageCountKey, TeamCounts> snapshot() {
        return Map.copyOf(mCounts);
    }

    private void forgetBefore(long window) {
        if (window > mNewestWindow) {
            mNewestWindow = window;
            mCounts.keySet().removeIf(key -> key.window() <= window - KEPT_WINDOWS);
        }
    }
}
