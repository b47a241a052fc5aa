package org.vanilladoor.leader;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.StoredObjectLister;
import org.vanilladoor.provider.UnreadableObjects;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.provider.VersionedObjectWriter;

/**
 * Writes this process's report to the store and reads the reports of the other processes, or the
 * lease holder's roster.
 *
 * <p>Invariant: at most one write of each object and one read are in progress. Confined to the
 * control thread.
 */
final class MemberReportExchange {
    /** Time between reads of the reports or the roster by other processes, in milliseconds. */
    private static final long READ_INTERVAL_MILLIS = 4_000;

    /** Shortest time between listings by the lease holder, in milliseconds. */
    private static final long MINIMUM_HOLDER_LIST_INTERVAL_MILLIS = 1_000;

    /**
     * Listing interval of the lease holder per live process, in milliseconds. Listings have to be
     * frequent enough to seal usage windows within six seconds of their end.
     */
    private static final long HOLDER_LIST_INTERVAL_MILLIS_PER_PROCESS = 10;

    /** Time between writes of the roster, in milliseconds. */
    private static final long ROSTER_INTERVAL_MILLIS = 3_000;

    private static final String ROSTER_OBJECT = "roster/fleet";

    private final StoredObjectLister mLister;
    private final MemberView mMembers;
    private final ServingState mState;
    private final VersionedObjectWriter mReportWriter;
    private final VersionedObjectWriter mRosterWriter;
    private final String mReportObject;
    private final String mVmName;
    private final String mIncarnation;
    private final UsageCounter mUsageCounter;
    private final ServiceLoadMeter mLoadMeter;
    private final StableWallClock mWallClock;
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();
    private final Map<String, ServiceLoad> mSmoothedLoads = new HashMap<>();
    private long mReportWrittenMillis;
    private long mReadMillis;
    private long mRosterWrittenMillis;
    private long mHeartbeat;
    private boolean mReadInProgress;
    private Optional<HostPort> mOwnExchange = Optional.empty();
    private Optional<HostPort> mHolderExchange = Optional.empty();
    private boolean mExchangeReadInProgress;

    MemberReportExchange(
            ObjectStore store,
            StoredObjectLister lister,
            MemberView members,
            ServingState state,
            Measurements measurements,
            ProcessIdentity identity) {
        mLister = lister;
        mMembers = members;
        mState = state;
        mReportObject = identity.reportObject();
        mReportWriter = VersionedObjectWriter.create(store, mReportObject);
        mRosterWriter = VersionedObjectWriter.create(store, ROSTER_OBJECT);
        mVmName = identity.vmName();
        mIncarnation = identity.incarnation();
        mUsageCounter = measurements.usageCounter();
        mLoadMeter = measurements.loadMeter();
        mWallClock = measurements.wallClock();
    }

    /**
     * Starts the writes and reads that are due.
     *
     * @param isHolder whether this process holds the fleet lease
     */
    void tick(boolean isHolder) {
        long now = MonotonicClock.nowMillis();
        if (!mReportWriter.isWriting()
                && now - mReportWrittenMillis >= mMembers.reportIntervalMillis()) {
            writeReport(now);
        }
        boolean isFirstReadAsHolder = isHolder && !mMembers.hasListing();
        if (!mReadInProgress
                && (isFirstReadAsHolder || now - mReadMillis >= readIntervalMillis(isHolder))) {
            read(isHolder, now);
        }
        if (isHolder
                && mMembers.hasListing()
                && !mRosterWriter.isWriting()
                && now - mRosterWrittenMillis >= ROSTER_INTERVAL_MILLIS) {
            writeRoster(now);
        }
        mState.setVmCount(mMembers.liveProcesses());
    }

    /** Sets the address that the roster states while this process holds the lease. */
    void publishExchange(Optional<HostPort> address) {
        if (!address.equals(mOwnExchange)) {
            mOwnExchange = address;
            mRosterWrittenMillis = 0;
        }
    }

    /** Returns the address at which the lease holder listens, as the last roster read states it. */
    Optional<HostPort> holderExchange() {
        return mHolderExchange;
    }

    /**
     * Reads the holder's address from the roster, which candidates for the lease don't read
     * otherwise.
     */
    void readHolderExchange() {
        if (mExchangeReadInProgress) {
            return;
        }
        mExchangeReadInProgress = true;
        mLister.listKind(ROSTER_OBJECT, true)
                .whenComplete(
                        (found, failure) -> {
                            mExchangeReadInProgress = false;
                            if (failure == null) {
                                mHolderExchange =
                                        decodeRoster(found).flatMap(Roster::exchangeAddress);
                            }
                        });
    }

    private void writeReport(long now) {
        mReportWrittenMillis = now;
        mLoadMeter
                .takeLoads(now)
                .forEach(
                        (service, load) ->
                                mSmoothedLoads.merge(service, load, ServiceLoad::smoothedWith));
        MemberReport report =
                new MemberReport(
                        mVmName,
                        mIncarnation,
                        mWallClock.nowMillis(),
                        mUsageCounter.counts(),
                        new HashMap<>(mSmoothedLoads),
                        mMembers.initialSizes());
        mReportWriter
                .write(Json.write(report))
                .exceptionally(
                        failure -> {
                            Throwable cause = unwrap(failure);
                            if (!(cause instanceof VersionConflictException)) {
                                logWriteFailure("report.unwritten", cause);
                            }
                            return null;
                        });
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private static void logWriteFailure(String event, Throwable cause) {
        EventLog.write("member", event, "reason", cause.getMessage());
    }

    private long readIntervalMillis(boolean isHolder) {
        long scaledMillis = mMembers.liveProcesses() * HOLDER_LIST_INTERVAL_MILLIS_PER_PROCESS;
        return isHolder
                ? Math.max(
                        MINIMUM_HOLDER_LIST_INTERVAL_MILLIS,
                        Math.min(READ_INTERVAL_MILLIS, scaledMillis))
                : READ_INTERVAL_MILLIS;
    }

    private void read(boolean isHolder, long now) {
        mReadInProgress = true;
        mReadMillis = now;
        if (isHolder || mMembers.needsListing()) {
            listReports(isHolder);
        } else {
            readRoster();
        }
    }

    private void readRoster() {
        mLister.listKind(ROSTER_OBJECT, true)
                .whenComplete(
                        (found, failure) -> {
                            mReadInProgress = false;
                            if (failure == null) {
                                Optional<Roster> roster = decodeRoster(found);
                                mHolderExchange = roster.flatMap(Roster::exchangeAddress);
                                mMembers.followRoster(roster, MonotonicClock.nowMillis());
                            }
                        });
    }

    private Optional<Roster> decodeRoster(List<StoredObject> found) {
        Optional<StoredObject> object =
                found.stream().filter(each -> each.name().equals(ROSTER_OBJECT)).findFirst();
        try {
            return object.map(each -> Json.read(each.content(), Roster.class));
        } catch (UncheckedIOException e) {
            if (mUnreadableObjects.add(ROSTER_OBJECT, object.get().version())) {
                EventLog.write("member", "roster.unreadable", "reason", e.getMessage());
            }
            return Optional.empty();
        }
    }

    /**
     * Writes the roster; the first write of a new lease holder fails and only reads the version.
     */
    private void writeRoster(long now) {
        mRosterWrittenMillis = now;
        // The wall-clock time keeps the heartbeats of a new lease holder distinct from those of the
        // previous one.
        mHeartbeat = Math.max(mHeartbeat + 1, mWallClock.nowMillis());
        mRosterWriter
                .write(Json.write(mMembers.roster(mHeartbeat).withExchange(mOwnExchange)))
                .exceptionally(
                        failure -> {
                            logWriteFailure("roster.unwritten", unwrap(failure));
                            retryFirstWrite(unwrap(failure));
                            return null;
                        });
    }

    /** The other VMs have no advances until they know where a new holder listens. */
    private void retryFirstWrite(Throwable cause) {
        if (mOwnExchange.isPresent() && cause instanceof VersionConflictException) {
            mRosterWrittenMillis = 0;
        }
    }

    private void listReports(boolean isHolder) {
        mLister.listKind(mReportObject, !isHolder)
                .whenComplete(
                        (objects, failure) -> {
                            mReadInProgress = false;
                            if (failure == null) {
                                mMembers.replaceReports(
                                        decodeReports(objects), MonotonicClock.nowMillis());
                            }
                        });
    }

    private List<MemberView.ListedReport> decodeReports(List<StoredObject> objects) {
        List<MemberView.ListedReport> listed = new ArrayList<>();
        for (StoredObject object : objects) {
            try {
                MemberReport report = Json.read(object.content(), MemberReport.class);
                listed.add(new MemberView.ListedReport(object.name(), object.version(), report));
            } catch (UncheckedIOException e) {
                if (mUnreadableObjects.add(object.name(), object.version())) {
                    EventLog.write("member", "report.unreadable", "object", object.name());
                }
            }
        }
        return listed;
    }

    /**
     * Identity of this process.
     *
     * @param reportObject name of the object that holds its report
     * @param vmName name of its VM
     * @param incarnation identifier of this run of the process
     */
    record ProcessIdentity(String reportObject, String vmName, String incarnation) {}

    /**
     * Sources of the figures that this process reports.
     *
     * @param usageCounter counts requests that began to run
     * @param loadMeter measures the load of the endpoints
     * @param wallClock gives the time up to which the counts are complete
     */
    record Measurements(
            UsageCounter usageCounter, ServiceLoadMeter loadMeter, StableWallClock wallClock) {}
}
