package org.vanilladoor.duty;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Writes this process's report to the store and lists those of the others.
 *
 * <p>Invariant: one write and one listing are open at a time. Belongs to the control thread.
 */
final class MemberExchange {
    /** Time between listings, or looks at the roster, of a process without the lease. */
    private static final long LIST_MILLIS = 4_000;

    /** Shortest time between listings of the holder, in milliseconds. */
    private static final long HOLDER_LIST_MILLIS = 1_000;

    /**
     * Time between them for each living process; windows are sealed six seconds after their end.
     */
    private static final long HOLDER_LIST_MILLIS_PER_PROCESS = 10;

    /** Time between rosters, in milliseconds. */
    private static final long ROSTER_MILLIS = 3_000;

    private static final String ROSTER = "roster/fleet";

    private final StoredReports mReports;
    private final MemberBoard mBoard;
    private final ServingState mState;
    private final KeptObject mReport;
    private final KeptObject mRoster;
    private final String mObject;
    private final String mMachine;
    private final String mIncarnation;
    private final UsageLedger mLedger;
    private final WorkMeter mMeter;
    private final WallTime mWallTime;
    private final Map<String, Work> mRecent = new HashMap<>();
    private long mWrittenMillis;
    private long mListedMillis;
    private long mRosterMillis;
    private long mBeat;
    private boolean mListing;

    MemberExchange(
            ObjectStore store,
            StoredReports reports,
            MemberBoard board,
            ServingState state,
            Counts counts,
            Self self) {
        mReports = reports;
        mBoard = board;
        mState = state;
        mObject = self.object();
        mReport = new KeptObject(store, mObject);
        mRoster = new KeptObject(store, ROSTER);
        mMachine = self.machine();
        mIncarnation = self.incarnation();
        mLedger = counts.ledger();
        mMeter = counts.meter();
        mWallTime = counts.wallTime();
    }

    void pulse(boolean holder) {
        long now = MonotonicClock.nowMillis();
        if (!mReport.isOpen() && now - mWrittenMillis >= mBoard.reportIntervalMillis()) {
            write(now);
        }
        boolean firstAsHolder = holder && !mBoard.isListed();
        if (!mListing && (firstAsHolder || now - mListedMillis >= listPause(holder))) {
            look(holder, now);
        }
        if (holder
                && mBoard.isListed()
                && !mRoster.isOpen()
                && now - mRosterMillis >= ROSTER_MILLIS) {
            tellRoster(now);
        }
        mState.setVmCount(mBoard.living());
    }

    private void write(long now) {
        mWrittenMillis = now;
        mMeter.take(now).forEach((service, work) -> mRecent.merge(service, work, Work::followedBy));
        MemberReport report =
                new MemberReport(
                        mMachine,
                        mIncarnation,
                        mWallTime.nowMillis(),
                        mLedger.counts(),
                        new HashMap<>(mRecent));
        mReport.write(Json.write(report))
                .exceptionally(
                        failure -> {
                            Throwable cause = cause(failure);
                            if (!(cause instanceof VersionConflictException)) {
                                logUnwritten("report.unwritten", cause);
                            }
                            return null;
                        });
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private static void logUnwritten(String event, Throwable cause) {
        EventLog.write("member", event, "reason", cause.getMessage());
    }

    private long listPause(boolean holder) {
        long all = mBoard.living() * HOLDER_LIST_MILLIS_PER_PROCESS;
        return holder ? Math.max(HOLDER_LIST_MILLIS, Math.min(LIST_MILLIS, all)) : LIST_MILLIS;
    }

    private void look(boolean holder, long now) {
        mListing = true;
        mListedMillis = now;
        if (holder || mBoard.needsListing()) {
            list(holder);
        } else {
            follow();
        }
    }

    private void follow() {
        mReports.list(ROSTER, true)
                .whenComplete(
                        (found, failure) -> {
                            mListing = false;
                            if (failure == null) {
                                mBoard.follow(roster(found), MonotonicClock.nowMillis());
                            }
                        });
    }

    private static Optional<Roster> roster(List<StoredObject> found) {
        if (found.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.read(found.get(0).content(), Roster.class));
        } catch (UncheckedIOException e) {
            EventLog.write("member", "roster.unreadable", "reason", e.getMessage());
            return Optional.empty();
        }
    }

    /** Writes the roster; the first write of a new holder only finds out the version. */
    private void tellRoster(long now) {
        mRosterMillis = now;
        // The wall time tells a new holder's beats from those of its forerunner.
        mBeat = Math.max(mBeat + 1, mWallTime.nowMillis());
        mRoster.write(Json.write(mBoard.roster(mBeat)))
                .exceptionally(
                        failure -> {
                            logUnwritten("roster.unwritten", cause(failure));
                            return null;
                        });
    }

    private void list(boolean holder) {
        mReports.list(mObject, !holder)
                .whenComplete(
                        (objects, failure) -> {
                            mListing = false;
                            if (failure == null) {
                                mBoard.list(decode(objects), MonotonicClock.nowMillis());
                            }
                        });
    }

    private static List<MemberBoard.Listed> decode(List<StoredObject> objects) {
        List<MemberBoard.Listed> listed = new ArrayList<>();
        for (StoredObject object : objects) {
            try {
                MemberReport report = Json.read(object.content(), MemberReport.class);
                listed.add(new MemberBoard.Listed(object.name(), object.version(), report));
            } catch (UncheckedIOException e) {
                EventLog.write("member", "report.unreadable", "object", object.name());
            }
        }
        return listed;
    }

    /**
     * Who this process is.
     *
     * @param object name of its report
     * @param machine name of its VM
     * @param incarnation identity of the process
     */
    record Self(String object, String machine, String incarnation) {}

    /**
     * What this process counts.
     *
     * @param ledger requests that began to run
     * @param meter work at the endpoints
     * @param wallTime tells the windows
     */
    record Counts(UsageLedger ledger, WorkMeter meter, WallTime wallTime) {}
}
