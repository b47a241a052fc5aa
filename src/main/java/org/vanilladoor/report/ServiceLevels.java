package org.vanilladoor.report;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.vanilladoor.caller.CallObserver;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.usage.TeamCounts;
import org.vanilladoor.usage.UsageCounters;
import org.vanilladoor.usage.UsageWindow;

/**
 * Counts calls by outcome relative to their targets, per class, team and minute, and adds up the
 * usage of teams.
 *
 * <p>Counts are kept for six hours. Safe for use by any thread; the counts are guarded by the lock
 * of this object.
 */
public final class ServiceLevels implements CallObserver {
    private static final long MINUTE_MILLIS = 60_000;
    private static final int RETENTION_MINUTES = 6 * 60;
    private final MetricRegistry mMetrics;
    private final UsageCounters mUsage;
    private final LongSupplier mEpochMillisClock;
    private final TreeMap<Long, Map<LevelKey, LevelCounts>> mCountsByMinute = new TreeMap<>();

    private ServiceLevels(
            MetricRegistry metrics, UsageCounters usage, LongSupplier epochMillisClock) {
        mMetrics = metrics;
        mUsage = usage;
        mEpochMillisClock = epochMillisClock;
    }

    /**
     * Returns an instance without counts.
     *
     * @param metrics registry for the histogram and the meter of each class
     * @param usage counters to which the usage of teams is added
     * @param epochMillisClock wall clock, in milliseconds since the epoch
     */
    public static ServiceLevels create(
            MetricRegistry metrics, UsageCounters usage, LongSupplier epochMillisClock) {
        return new ServiceLevels(metrics, usage, epochMillisClock);
    }

    @Override
    public void recordCompleted(Call call, Timing timing) {
        WorkClass workClass = call.workClass();
        mMetrics.histogram("first_token_ms." + workClass.name()).update(timing.firstTokenMillis());
        if (!call.team().isEmpty()) {
            mUsage.add(
                    UsageWindow.at(mEpochMillisClock.getAsLong()),
                    call.team(),
                    new TeamCounts(1, call.promptTokens(), timing.outputTokens()));
        }
        addCounts(call, meetsTarget(workClass, timing) ? LevelCounts.MET : LevelCounts.MISSED);
    }

    @Override
    public void recordRefused(Call call) {
        addCounts(call, LevelCounts.REFUSED);
    }

    @Override
    public void recordFailed(Call call) {
        addCounts(call, LevelCounts.FAILED);
    }

    /** Returns whether the timing of a response meets the targets of its class. */
    public static boolean meetsTarget(WorkClass workClass, Timing timing) {
        boolean meetsBetweenTokens =
                workClass.betweenTokensMillis() == 0
                        || timing.meanBetweenTokensMillis() <= workClass.betweenTokensMillis();
        return meetsBetweenTokens && timing.firstTokenMillis() <= workClass.firstTokenMillis();
    }

    /** Returns the counts of the given number of minutes up to and including the current one. */
    public synchronized List<LevelRow> rowsForLastMinutes(int minutes) {
        long firstMinute = currentMinute() - minutes + 1;
        Map<LevelKey, LevelCounts> countsByKey = new HashMap<>();
        mCountsByMinute
                .tailMap(firstMinute)
                .values()
                .forEach(
                        counts ->
                                counts.forEach(
                                        (key, count) ->
                                                countsByKey.merge(key, count, LevelCounts::plus)));
        List<LevelRow> rows = new ArrayList<>();
        new TreeMap<>(countsByKey)
                .forEach(
                        (key, counts) ->
                                rows.add(new LevelRow(key.workClass(), key.team(), counts)));
        return rows;
    }

    private synchronized void addCounts(Call call, LevelCounts counts) {
        mMetrics.meter("calls." + call.workClass().name()).mark();
        long currentMinute = currentMinute();
        mCountsByMinute
                .computeIfAbsent(currentMinute, key -> new HashMap<>())
                .merge(
                        new LevelKey(call.workClass().name(), call.team()),
                        counts,
                        LevelCounts::plus);
        mCountsByMinute.headMap(currentMinute - RETENTION_MINUTES).clear();
    }

    private long currentMinute() {
        return mEpochMillisClock.getAsLong() / MINUTE_MILLIS;
    }

    private record LevelKey(String workClass, String team) implements Comparable<LevelKey> {
        @Override
        public int compareTo(LevelKey other) {
            int order = workClass.compareTo(other.workClass);
            return order != 0 ? order : team.compareTo(other.team);
        }
    }
}
