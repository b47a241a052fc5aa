package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.vanilladoor.caller.CallObserver;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.report.ServiceLevels;
import org.vanilladoor.role.RoleChange;

/**
 * The results of a replay: outcomes of calls, role changes, spend, and samples over time.
 *
 * <p>Counts of calls include only first attempts, not calls that a caller sent as a retry. A call
 * meets its target if its time to first token and time between tokens do and it ends by its
 * deadline. Not safe for use by several threads.
 */
public final class ReplayTally {
    private static final double MILLIS_PER_HOUR = 3_600_000.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final long SAMPLE_INTERVAL_MILLIS = 5_000;

    /** Speed factor of roles that prefill without any slowdown. */
    private static final double FULL_PREFILL_SPEED_FACTOR = 1.0;

    private final Map<String, Counts> mCountsByClass = new TreeMap<>();
    private final Map<String, Counts> mCountsByTeam = new TreeMap<>();
    private final Counts mFirstAttempts = new Counts();
    private final List<String> mRoleChangeDescriptions = new ArrayList<>();
    private final List<Sample> mSamples = new ArrayList<>();
    private double mSpend;
    private long mReclaimableClassTokens;
    private long mTokensOnReclaimableEngines;
    private long mMetSinceSample;

    private ReplayTally() {}

    static ReplayTally create() {
        return new ReplayTally();
    }

    /** Returns the share, 0 to 1, of a class's first attempts that met the target. */
    public double classMetShare(String workClass) {
        return mCountsByClass.getOrDefault(workClass, new Counts()).metShare();
    }

    /** Returns the share, 0 to 1, of a team's first attempts that met the target. */
    public double teamMetShare(String team) {
        return mCountsByTeam.getOrDefault(team, new Counts()).metShare();
    }

    /** Returns the teams that sent calls. */
    public Collection<String> teams() {
        return mCountsByTeam.keySet();
    }

    /** Returns the number of first attempts that met their target. */
    public long goodput() {
        return mFirstAttempts.mMet;
    }

    /** Returns the number of first attempts that were submitted. */
    public long sentCalls() {
        return mFirstAttempts.mSent;
    }

    public int roleChangeCount() {
        return mRoleChangeDescriptions.size();
    }

    /** Returns the cost of the engines so far, in the unit of their cost per hour. */
    public double spend() {
        return mSpend;
    }

    /**
     * Returns the share, 0 to 1, of the tokens of reclaimable classes that were assigned to
     * reclaimable engines.
     */
    public double reclaimableEngineShare() {
        return mReclaimableClassTokens == 0
                ? 0
                : (double) mTokensOnReclaimableEngines / mReclaimableClassTokens;
    }

    /** Returns the samples in the order of time. */
    public List<Sample> samples() {
        return List.copyOf(mSamples);
    }

    /** Returns a line for each role change: time, engine, new role and reason. */
    public List<String> roleChangeDescriptions() {
        return List.copyOf(mRoleChangeDescriptions);
    }

    /** Returns a table of the results by class and by team, and a line of totals. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        mCountsByClass.forEach((name, counts) -> text.append(counts.toText("class " + name)));
        mCountsByTeam.forEach((name, counts) -> text.append(counts.toText("team " + name)));
        text.append(
                String.format(
                        Locale.ROOT,
                        "goodput %d of %d, role changes %d, spend %.2f, "
                                + "reclaimable work on reclaimable engines %.2f%n",
                        goodput(),
                        sentCalls(),
                        roleChangeCount(),
                        mSpend,
                        reclaimableEngineShare()));
        return text.toString();
    }

    void recordSubmission(Call call) {
        updateCounts(call, counts -> counts.mSent++);
    }

    void recordRefusal(Call call) {
        updateCounts(call, counts -> counts.mRefused++);
    }

    void recordFailure(Call call) {
        updateCounts(call, counts -> counts.mFailed++);
    }

    void recordCompletion(Call call, long firstTokenMillis, long endMillis) {
        int laterTokens = Math.max(1, call.outputTokens() - 1);
        CallObserver.Timing timing =
                new CallObserver.Timing(
                        firstTokenMillis - call.arrivalMillis(),
                        (double) (endMillis - firstTokenMillis) / laterTokens,
                        call.outputTokens());
        boolean met =
                ServiceLevels.meetsTarget(call.workClass(), timing)
                        && endMillis <= call.deadlineMillis();
        if (met) {
            updateCounts(call, counts -> counts.mMet++);
            mMetSinceSample++;
        } else {
            updateCounts(call, counts -> counts.mMissed++);
        }
    }

    void recordAssignment(Decision.Assigned assigned, ReplayEngine engine) {
        if (assigned.call().workClass().reclaimable()) {
            mReclaimableClassTokens += assigned.call().chargedTokens();
            mTokensOnReclaimableEngines +=
                    engine.description().reclaimable() ? assigned.call().chargedTokens() : 0;
        }
    }

    void recordRoleChange(RoleChange change, long nowMillis) {
        mRoleChangeDescriptions.add(
                nowMillis
                        + " ms: "
                        + change.endpoint()
                        + " to "
                        + change.role()
                        + ", "
                        + change.reason());
    }

    /** Adds the cost of an engine for a time, unless it was terminated. */
    void addSpend(ReplayEngine engine, long millis) {
        if (!engine.isTerminated()) {
            mSpend += engine.description().costPerHour() * millis / MILLIS_PER_HOUR;
        }
    }

    /** Adds a sample if one is due at the given time. */
    void recordSample(long nowMillis, Collection<ReplayEngine> engines, int queuedCalls) {
        if (nowMillis % SAMPLE_INTERVAL_MILLIS == 0) {
            long prefillEngineCount =
                    engines.stream()
                            .filter(engine -> !engine.isTerminated())
                            .filter(
                                    engine ->
                                            engine.model().role().prefillSpeedFactor()
                                                    == FULL_PREFILL_SPEED_FACTOR)
                            .count();
            mSamples.add(
                    new Sample(
                            nowMillis,
                            mMetSinceSample * MILLIS_PER_SECOND / SAMPLE_INTERVAL_MILLIS,
                            queuedCalls,
                            prefillEngineCount,
                            mSpend));
            mMetSinceSample = 0;
        }
    }

    private void updateCounts(Call call, Consumer<Counts> update) {
        if (!call.isRetry()) {
            update.accept(mFirstAttempts);
            update.accept(
                    mCountsByClass.computeIfAbsent(call.workClass().name(), key -> new Counts()));
            update.accept(mCountsByTeam.computeIfAbsent(call.team(), key -> new Counts()));
        }
    }

    /**
     * The state of a replay at one moment.
     *
     * @param atMillis time from the beginning of the trace
     * @param metPerSecond calls per second, including retries, that met their target since the last
     *     sample
     * @param queuedCalls calls in wait queues
     * @param prefillEngineCount number of engines in the prefill role
     * @param spend cost of the engines so far
     */
    public record Sample(
            long atMillis,
            double metPerSecond,
            int queuedCalls,
            long prefillEngineCount,
            double spend) {}

    /** Counts of first attempts by outcome. */
    private static final class Counts {
        private long mSent;
        private long mMet;
        private long mMissed;
        private long mRefused;
        private long mFailed;

        double metShare() {
            return mSent == 0 ? 0 : (double) mMet / mSent;
        }

        String toText(String name) {
            return String.format(
                    Locale.ROOT,
                    "%-28s sent %6d met %6d (%.3f) missed %6d refused %6d failed %5d%n",
                    name,
                    mSent,
                    mMet,
                    metShare(),
                    mMissed,
                    mRefused,
                    mFailed);
        }
    }
}
