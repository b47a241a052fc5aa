package org.vanilladoor.quarantine;

import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.StoredObjectLister;
import org.vanilladoor.provider.UnreadableObjects;
import org.vanilladoor.provider.VersionedObjectWriter;

/**
 * Exchanges the evidence about prompt parts between the VMs through the store.
 *
 * <p>Each VM writes what it knows into an object of its own and then marks the entry of the crashed
 * engine, which all VMs follow anyway; whoever sees a new mark lists the objects. So nothing is
 * read or written while no engine crashes. A VM also lists the objects at its start, after an
 * outage of the store, when an engine disappears without notice, and now and then while a part is
 * quarantined, since a mark may be lost.
 *
 * <p>The trials of parts are in one object that all VMs write under its version, so that each trial
 * has one VM. It is listed with the others.
 *
 * <p>Invariants: at most one write and one listing are in progress, besides those of a claim; an
 * observation is published again until the store has acknowledged it. Confined to the control
 * thread.
 */
public final class CrashReportExchange implements CrashReportPublisher {
    /** Shortest time between two listings. */
    private static final long MINIMUM_READ_INTERVAL_MILLIS = 250;

    /** Time between listings while a part is quarantined. */
    private static final long QUARANTINE_READ_INTERVAL_MILLIS = 5_000;

    private static final String OBJECT_PREFIX = "crashes/";

    /** No VM has a name like this. */
    private static final String TRIALS_OBJECT = OBJECT_PREFIX + "_trials";

    private final PromptQuarantine mQuarantine;
    private final ObjectStore mStore;
    private final StoredObjectLister mLister;
    private final VersionedObjectWriter mWriter;
    private final Function<String, CompletableFuture<Void>> mMarker;
    private final String mObject;
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();
    private long mPublishedRevision;
    private Optional<String> mEngineToMark = Optional.empty();
    private boolean mReadRequested = true;
    private boolean mReading;
    private boolean mEverRead;
    private long mReadMillis = Long.MIN_VALUE / 2;

    private CrashReportExchange(
            PromptQuarantine quarantine,
            ObjectStore store,
            StoredObjectLister lister,
            Function<String, CompletableFuture<Void>> marker,
            String vmName) {
        mQuarantine = quarantine;
        mStore = store;
        mLister = lister;
        mObject = OBJECT_PREFIX + vmName;
        mWriter = VersionedObjectWriter.create(store, mObject);
        mMarker = marker;
    }

    /**
     * Returns an exchange that has read nothing yet.
     *
     * @param quarantine evidence of this VM, to which that of the others is added
     * @param store holds the object of this VM
     * @param lister lists the objects of all VMs
     * @param marker marks the entry of the engine with the given name
     * @param vmName name of this VM
     */
    public static CrashReportExchange create(
            PromptQuarantine quarantine,
            ObjectStore store,
            StoredObjectLister lister,
            Function<String, CompletableFuture<Void>> marker,
            String vmName) {
        return new CrashReportExchange(quarantine, store, lister, marker, vmName);
    }

    @Override
    public void publish(Optional<String> crashedEngine) {
        if (crashedEngine.isPresent()) {
            mEngineToMark = crashedEngine;
        }
        writeIfChanged();
    }

    @Override
    public CompletableFuture<Boolean> claimTrial(
            Collection<String> parts, String trial, BooleanSupplier isStillDue) {
        return mLister.listKind(mObject, false)
                .thenCompose(
                        found -> {
                            mEverRead = true;
                            mergeAll(found);
                            return isStillDue.getAsBoolean()
                                    ? writeTrial(found, parts, trial)
                                    : CompletableFuture.completedFuture(false);
                        })
                .exceptionally(
                        failure -> {
                            logFailure("trial.unclaimed", failure);
                            return false;
                        });
    }

    private CompletableFuture<Boolean> writeTrial(
            List<StoredObject> found, Collection<String> parts, String trial) {
        Optional<StoredObject> object =
                found.stream().filter(each -> each.name().equals(TRIALS_OBJECT)).findFirst();
        long version = object.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        return mStore.write(TRIALS_OBJECT, version, Json.write(trialsWith(parts, trial)))
                .thenApply(written -> true);
    }

    /** Returns the trials of all parts that are suspected now, with a new one. */
    private CrashReport trialsWith(Collection<String> parts, String trial) {
        Map<String, CrashReport.Part> trials = new HashMap<>();
        mQuarantine
                .report()
                .parts()
                .forEach(
                        (part, evidence) -> {
                            Set<String> all = new HashSet<>(evidence.trials());
                            if (parts.contains(part)) {
                                all.add(trial);
                            }
                            if (!all.isEmpty()) {
                                trials.put(part, new CrashReport.Part(Set.of(), Set.of(), all, 0));
                            }
                        });
        return new CrashReport(trials);
    }

    /** Requests a listing, since another VM may have published evidence. */
    @Override
    public void requestRead() {
        mReadRequested = true;
        readIfDue(MonotonicClock.nowMillis());
    }

    /** Starts the listing or the write that is due; to be called several times a second. */
    public void tick(long nowMillis) {
        boolean isWatchful = mQuarantine.quarantinedParts() > 0;
        if (isWatchful && nowMillis - mReadMillis >= QUARANTINE_READ_INTERVAL_MILLIS) {
            mReadRequested = true;
        }
        readIfDue(nowMillis);
        writeIfChanged();
    }

    private void readIfDue(long nowMillis) {
        if (!mReadRequested || mReading || nowMillis - mReadMillis < MINIMUM_READ_INTERVAL_MILLIS) {
            return;
        }
        mReadRequested = false;
        mReading = true;
        mReadMillis = nowMillis;
        mLister.listKind(mObject, false)
                .whenComplete(
                        (found, failure) -> {
                            mReading = false;
                            if (failure == null) {
                                mEverRead = true;
                                mergeAll(found);
                            } else {
                                mReadRequested = true;
                                logFailure("reports.unread", failure);
                            }
                        });
    }

    private void mergeAll(List<StoredObject> found) {
        long quarantinedBefore = mQuarantine.quarantinedParts();
        found.forEach(this::merge);
        if (mQuarantine.quarantinedParts() != quarantinedBefore) {
            EventLog.write(
                    "quarantine",
                    "changed.elsewhere",
                    "before",
                    quarantinedBefore,
                    "parts",
                    mQuarantine.quarantinedParts());
        }
        writeIfChanged();
    }

    private void merge(StoredObject object) {
        try {
            mQuarantine.merge(
                    Json.read(object.content(), CrashReport.class), MonotonicClock.nowMillis());
        } catch (UncheckedIOException e) {
            if (mUnreadableObjects.add(object.name(), object.version())) {
                EventLog.write("quarantine", "report.unreadable", "object", object.name());
            }
        }
    }

    private void writeIfChanged() {
        long revision = mQuarantine.revision();
        // Before the first listing, a write would replace what an earlier process has observed.
        if (!mEverRead || revision == mPublishedRevision || mWriter.isWriting()) {
            return;
        }
        mWriter.write(Json.write(mQuarantine.report()))
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                mPublishedRevision = revision;
                                markEngine();
                                writeIfChanged();
                            } else {
                                logFailure("report.unwritten", failure);
                            }
                        });
    }

    private void markEngine() {
        mEngineToMark.ifPresent(
                engine ->
                        mMarker.apply(engine)
                                .whenComplete(
                                        (done, failure) -> {
                                            if (failure != null) {
                                                logFailure("engine.unmarked", failure);
                                            }
                                        }));
        // Evidence that came during the write needs a mark after its own write.
        if (mPublishedRevision == mQuarantine.revision()) {
            mEngineToMark = Optional.empty();
        }
    }

    private static void logFailure(String event, Throwable failure) {
        EventLog.write("quarantine", event, "reason", failure.getMessage());
    }
}
