package org.vanilladoor.duty;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    /** Time between listings of a process without the lease, in milliseconds. */
    private static final long LIST_MILLIS = 4_000;

    /** Time between listings of the holder, in milliseconds. */
    private static final long HOLDER_LIST_MILLIS = 1_000;

    private final ObjectStore mStore;
    private final StoredReports mReports;
    private final MemberBoard mBoard;
    private final ServingState mState;
    private final String mObject;
    private final String mMachine;
    private final String mIncarnation;
    private final UsageLedger mLedger;
    private final WorkMeter mMeter;
    private final WallTime mWallTime;
    private final Map<String, Work> mRecent = new HashMap<>();
    private long mVersion = ObjectStore.ABSENT;
    private long mWrittenMillis;
    private long mListedMillis;
    private boolean mWriting;
    private boolean mListing;

    MemberExchange(
            ObjectStore store,
            StoredReports reports,
            MemberBoard board,
            ServingState state,
            Counts counts,
            Self self) {
        mStore = store;
        mReports = reports;
        mBoard = board;
        mState = state;
        mObject = self.object();
        mMachine = self.machine();
        mIncarnation = self.incarnation();
        mLedger = counts.ledger();
        mMeter = counts.meter();
        mWallTime = counts.wallTime();
    }

    void pulse(boolean holder) {
        long now = MonotonicClock.nowMillis();
        if (!mWriting && now - mWrittenMillis >= mBoard.reportIntervalMillis()) {
            write(now);
        }
        long pause = holder ? HOLDER_LIST_MILLIS : LIST_MILLIS;
        if (!mListing && now - mListedMillis >= pause) {
            list(holder, now);
        }
        mState.setMachines(mBoard.living());
    }

    private void write(long now) {
        mWriting = true;
        mWrittenMillis = now;
        mMeter.take(now).forEach((service, work) -> mRecent.merge(service, work, Work::followedBy));
        MemberReport report =
                new MemberReport(
                        mMachine,
                        mIncarnation,
                        mWallTime.nowMillis(),
                        mLedger.counts(),
                        new HashMap<>(mRecent));
        mStore.write(mObject, mVersion, Json.write(report))
                .whenComplete(
                        (version, failure) -> {
                            mWriting = false;
                            if (failure == null) {
                                mVersion = version;
                            } else {
                                recover(failure);
                            }
                        });
    }

    /** Finds out the version after a write of which the outcome is not known. */
    private void recover(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof VersionConflictException)) {
            EventLog.write("member", "report.unwritten", "reason", cause.getMessage());
        }
        mWriting = true;
        mStore.read(mObject)
                .whenComplete(
                        (found, unread) -> {
                            mWriting = false;
                            if (unread == null) {
                                mVersion =
                                        found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
                            }
                        });
    }

    private void list(boolean holder, long now) {
        mListing = true;
        mListedMillis = now;
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
