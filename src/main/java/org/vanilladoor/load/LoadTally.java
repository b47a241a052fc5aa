package org.vanilladoor.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.vanilladoor.caller.CallObserver;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.report.ServiceLevels;

/**
 * Counts the results of a load by class of work and team.
 *
 * <p>Safe for use by any thread; one lock guards the counts.
 */
public final class LoadTally {
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private final Map<String, ClassAndTeamCounts> mCountsByClassAndTeam = new TreeMap<>();

    private LoadTally() {}

    /** Returns an empty tally. */
    public static LoadTally create() {
        return new LoadTally();
    }

    /** Counts the result of a call. */
    public synchronized void record(WorkClass workClass, String team, CallResult result) {
        ClassAndTeamCounts counts =
                mCountsByClassAndTeam.computeIfAbsent(
                        workClass.name() + " " + team, key -> new ClassAndTeamCounts());
        counts.mSent++;
        switch (result.outcome()) {
            case ANSWERED -> counts.recordAnswered(workClass, result);
            case NOT_RUN -> counts.mNotRun++;
            case UNKNOWN -> counts.mUnknown++;
            case WRONG -> counts.mWrong++;
        }
    }

    /** Returns the number of responses that were incomplete or belonged to another request. */
    public synchronized long wrongCount() {
        return mCountsByClassAndTeam.values().stream().mapToLong(counts -> counts.mWrong).sum();
    }

    /** Returns the number of calls that were sent. */
    public synchronized long sentCount() {
        return mCountsByClassAndTeam.values().stream().mapToLong(counts -> counts.mSent).sum();
    }

    /** Returns the number of calls that met the targets of their class. */
    public synchronized long metCount() {
        return mCountsByClassAndTeam.values().stream().mapToLong(counts -> counts.mMet).sum();
    }

    /** Returns the number of calls after which it is unknown whether they were run. */
    public synchronized long unknownCount() {
        return mCountsByClassAndTeam.values().stream().mapToLong(counts -> counts.mUnknown).sum();
    }

    /** Returns the counts as a text table with one line per class of work and team. */
    public synchronized String toText() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "%-32s %7s %7s %8s %8s %7s %7s %9s %9s%n",
                        "class and team",
                        "sent",
                        "met",
                        "answered",
                        "not run",
                        "unknown",
                        "wrong",
                        "p50 ms",
                        "p99 ms"));
        mCountsByClassAndTeam.forEach((name, counts) -> text.append(counts.toText(name)));
        return text.toString();
    }

    /** The counts of one class of work and team; guarded by the lock of the tally. */
    private static final class ClassAndTeamCounts {
        private final Histogram mFirstTokenMicros = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
        private long mSent;
        private long mMet;
        private long mAnswered;
        private long mNotRun;
        private long mUnknown;
        private long mWrong;

        void recordAnswered(WorkClass workClass, CallResult result) {
            mAnswered++;
            mFirstTokenMicros.recordValue(
                    Math.max(0, (long) (result.firstTokenMillis() * MICROS_PER_MILLI)));
            CallObserver.Timing timing =
                    new CallObserver.Timing(
                            (long) result.firstTokenMillis(), result.meanBetweenTokensMillis(), 0);
            if (ServiceLevels.meetsTarget(workClass, timing)) {
                mMet++;
            }
        }

        String toText(String name) {
            return String.format(
                    Locale.ROOT,
                    "%-32s %7d %7d %8d %8d %7d %7d %9.1f %9.1f%n",
                    name,
                    mSent,
                    mMet,
                    mAnswered,
                    mNotRun,
                    mUnknown,
                    mWrong,
                    mFirstTokenMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                    mFirstTokenMicros.getValueAtPercentile(99) / MICROS_PER_MILLI);
        }
    }
}
