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
 * What came of a replay.
 *
 * <p>Not safe for use by several threads.
 */
public final class ReplayTally {
    private static final double MILLIS_PER_HOUR = 3_600_000.0;
    private static final long SAMPLE_MILLIS = 5_000;
    private final Map<String, Counts> mByClass = new TreeMap<>();
    private final Map<String, Counts> mByTeam = new TreeMap<>();
    private final Counts mFirstTries = new Counts();
    private final List<String> mRoleChanges = new ArrayList<>();
    private final List<Sample> mSamples = new ArrayList<>();
    private double mSpend;
    private long mMovable;
    private long mMoved;
    private long mMetSinceSample;

    private ReplayTally() {}

    static ReplayTally create() {
        return new ReplayTally();
    }

    /** Returns the share of a class's first tries that met the target. */
    public double metShare(String workClass) {
        return mByClass.getOrDefault(workClass, new Counts()).metShare();
    }

    /** Returns the share of a team's first tries that met the target. */
    public double teamMetShare(String team) {
        return mByTeam.getOrDefault(team, new Counts()).metShare();
    }

    /** Returns the teams that sent calls. */
    public Collection<String> teams() {
        return mByTeam.keySet();
    }

    /** Returns how many first tries met their target. */
    public long goodput() {
        return mFirstTries.mMet;
    }

    /** Returns how many first tries were sent. */
    public long sent() {
        return mFirstTries.mSent;
    }

    /** Returns the number of role changes. */
    public int roleChanges() {
        return mRoleChanges.size();
    }

    /** Returns what the engines cost. */
    public double spend() {
        return mSpend;
    }

    /** Returns the share of movable work that ran on reclaimable engines. */
    public double movedShare() {
        return mMovable == 0 ? 0 : (double) mMoved / mMovable;
    }

    /** Returns the samples over time. */
    public List<Sample> samples() {
        return List.copyOf(mSamples);
    }

    /** Returns the role changes, a line each. */
    public List<String> roleChangeDescriptions() {
        return List.copyOf(mRoleChanges);
    }

    /** Returns the tally as a table. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        mByClass.forEach((name, counts) -> text.append(counts.toText("class " + name)));
        mByTeam.forEach((name, counts) -> text.append(counts.toText("team " + name)));
        text.append(
                String.format(
                        Locale.ROOT,
                        "goodput %d of %d, role changes %d, spend %.2f, movable work moved %.2f%n",
                        goodput(),
                        sent(),
                        roleChanges(),
                        mSpend,
                        movedShare()));
        return text.toString();
    }

    void submitted(Call call) {
        each(call, counts -> counts.mSent++);
    }

    void refused(Call call) {
        each(call, counts -> counts.mRefused++);
    }

    void failed(Call call) {
        each(call, counts -> counts.mFailed++);
    }

    void answered(Call call, long firstTokenMillis, long endMillis) {
        int rest = Math.max(1, call.outputTokens() - 1);
        CallObserver.Timing timing =
                new CallObserver.Timing(
                        firstTokenMillis - call.arrivalMillis(),
                        (double) (endMillis - firstTokenMillis) / rest,
                        call.outputTokens());
        boolean met =
                ServiceLevels.meetsTarget(call.workClass(), timing)
                        && endMillis <= call.deadlineMillis();
        if (met) {
            each(call, counts -> counts.mMet++);
            mMetSinceSample++;
        } else {
            each(call, counts -> counts.mMissed++);
        }
    }

    void assigned(Decision.Assigned assigned, ReplayEngine engine) {
        if (assigned.call().workClass().reclaimable()) {
            mMovable += assigned.call().chargedTokens();
            mMoved += engine.description().reclaimable() ? assigned.call().chargedTokens() : 0;
        }
    }

    void roleChanged(RoleChange change, long nowMillis) {
        mRoleChanges.add(
                nowMillis
                        + " ms: "
                        + change.endpoint()
                        + " to "
                        + change.role()
                        + ", "
                        + change.reason());
    }

    void spend(ReplayEngine engine, long millis) {
        if (!engine.isGone()) {
            mSpend += engine.description().costPerHour() * millis / MILLIS_PER_HOUR;
        }
    }

    void sample(long nowMillis, Collection<ReplayEngine> engines, int waiting) {
        if (nowMillis % SAMPLE_MILLIS == 0) {
            long prefill =
                    engines.stream()
                            .filter(e -> !e.isGone())
                            .filter(e -> e.model().role().prefillSpeedFactor() == 1.0)
                            .count();
            mSamples.add(
                    new Sample(
                            nowMillis,
                            mMetSinceSample * 1_000.0 / SAMPLE_MILLIS,
                            waiting,
                            prefill,
                            mSpend));
            mMetSinceSample = 0;
        }
    }

    private void each(Call call, Consumer<Counts> change) {
        if (!call.isRetry()) {
            change.accept(mFirstTries);
            change.accept(mByClass.computeIfAbsent(call.workClass().name(), key -> new Counts()));
            change.accept(mByTeam.computeIfAbsent(call.team(), key -> new Counts()));
        }
    }

    /**
     * The state of a replay at one moment.
     *
     * @param atMillis time from the begin
     * @param metPerSecond calls a second that met their target since the last sample
     * @param waiting calls that wait
     * @param prefillEngines engines in the prefill role
     * @param spend what the engines have cost
     */
    public record Sample(
            long atMillis, double metPerSecond, int waiting, long prefillEngines, double spend) {}

    /** Counts of first tries. */
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
