package org.vanilladoor.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.vanilladoor.caller.CallObserver;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.report.ServiceLevels;

/**
 * Counts the results of a load by class and team.
 *
 * <p>Safe for use by any thread; one lock guards the counts.
 */
public final class LoadTally {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private final Map<String, Row> mRows = new TreeMap<>();

    private LoadTally() {}

    /** Returns a tally that has seen nothing. */
    public static LoadTally create() {
        return new LoadTally();
    }

    /** Counts a result. */
    public synchronized void add(WorkClass workClass, String team, CallResult result) {
        Row row = mRows.computeIfAbsent(workClass.name() + " " + team, key -> new Row());
        row.mSent++;
        switch (result.outcome()) {
            case ANSWERED -> row.answered(workClass, result);
            case NOT_RUN -> row.mNotRun++;
            case UNKNOWN -> row.mUnknown++;
            case WRONG -> row.mWrong++;
        }
    }

    /** Returns how many answers were not whole or belonged to another request. */
    public synchronized long wrong() {
        return mRows.values().stream().mapToLong(row -> row.mWrong).sum();
    }

    /** Returns how many calls were sent. */
    public synchronized long sent() {
        return mRows.values().stream().mapToLong(row -> row.mSent).sum();
    }

    /** Returns how many calls met their target. */
    public synchronized long met() {
        return mRows.values().stream().mapToLong(row -> row.mMet).sum();
    }

    /** Returns how many calls ended with an unknown outcome. */
    public synchronized long unknown() {
        return mRows.values().stream().mapToLong(row -> row.mUnknown).sum();
    }

    /** Returns the tally as a table. */
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
        mRows.forEach((name, row) -> text.append(row.toText(name)));
        return text.toString();
    }

    /** The counts of one class and team. */
    private static final class Row {
        private final Histogram mFirstTokenMicros = new Histogram(DIGITS);
        private long mSent;
        private long mMet;
        private long mAnswered;
        private long mNotRun;
        private long mUnknown;
        private long mWrong;

        void answered(WorkClass workClass, CallResult result) {
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
