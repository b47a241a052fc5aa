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
 * Counts how calls went against their targets, by class, team and minute, and what teams used.
 *
 * <p>Safe for use by any thread; one lock guards the counts.
 */
public final class ServiceLevels implements CallObserver {
    private static final long MINUTE_MILLIS = 60_000;
    private static final int KEPT_MINUTES = 6 * 60;
    private final MetricRegistry mMetrics;
    private final UsageCounters mUsage;
    private final LongSupplier mEpochMillis;
    private final TreeMap<Long, Map<LevelKey, LevelCounts>> mMinutes = new TreeMap<>();

    private ServiceLevels(MetricRegistry metrics, UsageCounters usage, LongSupplier epochMillis) {
        mMetrics = metrics;
        mUsage = usage;
        mEpochMillis = epochMillis;
    }

    /**
     * Returns counts that have seen nothing.
     *
     * @param metrics gets timers by class
     * @param usage gets what teams used
     * @param epochMillis wall time in milliseconds
     */
    public static ServiceLevels create(
            MetricRegistry metrics, UsageCounters usage, LongSupplier epochMillis) {
        return new ServiceLevels(metrics, usage, epochMillis);
    }

    @Override
    public void answered(Call call, Timing timing) {
        WorkClass workClass = call.workClass();
        mMetrics.histogram("first_token_ms." + workClass.name()).update(timing.firstTokenMillis());
        if (!call.team().isEmpty()) {
            mUsage.add(
                    UsageWindow.at(mEpochMillis.getAsLong()),
                    call.team(),
                    new TeamCounts(1, call.promptTokens(), timing.outputTokens()));
        }
        add(call, meetsTarget(workClass, timing) ? LevelCounts.MET : LevelCounts.MISSED);
    }

    @Override
    public void refused(Call call) {
        add(call, LevelCounts.REFUSED);
    }

    @Override
    public void failed(Call call) {
        add(call, LevelCounts.FAILED);
    }

    /** Returns whether an answer meets its class's target. */
    public static boolean meetsTarget(WorkClass workClass, Timing timing) {
        boolean between =
                workClass.betweenTokensMillis() == 0
                        || timing.meanBetweenTokensMillis() <= workClass.betweenTokensMillis();
        return between && timing.firstTokenMillis() <= workClass.firstTokenMillis();
    }

    /** Returns the counts of the last minutes, the running one among them. */
    public synchronized List<LevelRow> rowsForLastMinutes(int minutes) {
        long from = minute() - minutes + 1;
        Map<LevelKey, LevelCounts> sums = new HashMap<>();
        mMinutes.tailMap(from)
                .values()
                .forEach(
                        counts ->
                                counts.forEach(
                                        (key, count) -> sums.merge(key, count, LevelCounts::plus)));
        List<LevelRow> rows = new ArrayList<>();
        new TreeMap<>(sums)
                .forEach(
                        (key, counts) ->
                                rows.add(new LevelRow(key.workClass(), key.team(), counts)));
        return rows;
    }

    private synchronized void add(Call call, LevelCounts counts) {
        mMetrics.meter("calls." + call.workClass().name()).mark();
        long minute = minute();
        mMinutes.computeIfAbsent(minute, key -> new HashMap<>())
                .merge(
                        new LevelKey(call.workClass().name(), call.team()),
                        counts,
                        LevelCounts::plus);
        mMinutes.headMap(minute - KEPT_MINUTES).clear();
    }

    private long minute() {
        return mEpochMillis.getAsLong() / MINUTE_MILLIS;
    }

    private record LevelKey(String workClass, String team) implements Comparable<LevelKey> {
        @Override
        public int compareTo(LevelKey other) {
            int order = workClass.compareTo(other.workClass);
            return order != 0 ? order : team.compareTo(other.team);
        }
    }
}
