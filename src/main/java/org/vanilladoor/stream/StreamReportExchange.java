package org.vanilladoor.stream;

import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.StoredObjectLister;
import org.vanilladoor.provider.UnreadableObjects;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.provider.VersionedObjectWriter;

/**
 * Publishes the streams that began at this VM and lists those of all VMs.
 *
 * <p>Invariants: nothing is written for a service that needs no reports, and nothing while no
 * stream begins; at most one write, one listing and one deletion are open. Confined to the control
 * thread.
 */
final class StreamReportExchange {
    private static final String OBJECT_PREFIX = "streams/";

    private final StreamLedger mLedger;
    private final Predicate<String> mNeedsReports;
    private final ObjectStore mStore;
    private final StoredObjectLister mLister;
    private final VersionedObjectWriter mWriter;
    private final CallPace mWritePace;
    private final LongSupplier mClock;
    private final SharedCall<StreamIndex> mListing;
    private final ObsoleteReports mObsolete;
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();
    private Map<String, Long> mPublishedRevisions = Map.of();
    private OptionalLong mLastWriteMillis = OptionalLong.empty();
    private boolean mDeleting;

    private StreamReportExchange(
            StreamLedger ledger,
            Predicate<String> needsReports,
            ObjectStore store,
            StoredObjectLister lister,
            String incarnation,
            Paces paces,
            LongSupplier clock) {
        String name = OBJECT_PREFIX + incarnation;
        mLedger = ledger;
        mNeedsReports = needsReports;
        mStore = store;
        mLister = lister;
        mWriter = VersionedObjectWriter.create(store, name);
        mWritePace = paces.writes();
        mClock = clock;
        mListing = SharedCall.create(this::list, paces.listings(), clock);
        mObsolete = ObsoleteReports.create(name);
    }

    /**
     * Returns an exchange that has not called the store.
     *
     * @param needsReports whether the streams of a service have to be published
     * @param incarnation identifier of this run of the process
     * @param clock monotonic time in milliseconds
     */
    static StreamReportExchange create(
            StreamLedger ledger,
            Predicate<String> needsReports,
            ObjectStore store,
            StoredObjectLister lister,
            String incarnation,
            Paces paces,
            LongSupplier clock) {
        return new StreamReportExchange(
                ledger, needsReports, store, lister, incarnation, paces, clock);
    }

    /** Starts the calls that are due. */
    void tick() {
        long nowMillis = mClock.getAsLong();
        mListing.tick();
        publish();
        if (!mDeleting) {
            mObsolete.any(nowMillis).ifPresent(this::delete);
        }
    }

    /** Writes this VM's report if it has changed and a write is due. */
    void publish() {
        long nowMillis = mClock.getAsLong();
        if (!mWriter.isWriting() && mWritePace.allows(mLastWriteMillis, nowMillis)) {
            writeIfChanged(nowMillis);
        }
    }

    /** Lists the streams of all VMs by a call that begins now or later. */
    CompletableFuture<StreamIndex> listStreams() {
        return mListing.request();
    }

    private void writeIfChanged(long nowMillis) {
        Map<String, Long> revisions = new HashMap<>();
        mLedger.services().stream()
                .filter(mNeedsReports)
                .forEach(service -> revisions.put(service, mLedger.revision(service)));
        if (revisions.isEmpty() || revisions.equals(mPublishedRevisions)) {
            return;
        }
        mLastWriteMillis = OptionalLong.of(nowMillis);
        mWriter.write(Json.write(mLedger.report(revisions::containsKey, nowMillis)))
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                mPublishedRevisions = revisions;
                            } else {
                                handleWriteFailure(unwrap(failure));
                            }
                        });
    }

    private void handleWriteFailure(Throwable failure) {
        if (failure instanceof VersionConflictException) {
            mLastWriteMillis = OptionalLong.empty();
        }
        logFailure("report.unwritten", failure);
    }

    private CompletableFuture<StreamIndex> list() {
        return mLister.listKind(OBJECT_PREFIX, false).thenApply(this::index);
    }

    private StreamIndex index(List<StoredObject> objects) {
        mObsolete.observe(objects, mClock.getAsLong());
        StreamIndex index = StreamIndex.create();
        for (StoredObject object : objects) {
            try {
                index.add(Json.read(object.content(), StreamReport.class));
            } catch (UncheckedIOException | IllegalArgumentException e) {
                if (mUnreadableObjects.add(object.name(), object.version())) {
                    EventLog.write("streams", "report.unreadable", "object", object.name());
                }
            }
        }
        return index;
    }

    private void delete(String name) {
        mDeleting = true;
        mStore.delete(name)
                .whenComplete(
                        (done, failure) -> {
                            mDeleting = false;
                            mObsolete.forget(name);
                            EventLog.write(
                                    "streams",
                                    "report.deleted",
                                    "object",
                                    name,
                                    "done",
                                    failure == null);
                        });
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private static void logFailure(String event, Throwable failure) {
        EventLog.write("streams", event, "reason", failure.getMessage());
    }

    /**
     * How fast calls may follow each other.
     *
     * @param writes pace of the writes of this VM's report
     * @param listings pace of the listings
     */
    record Paces(CallPace writes, CallPace listings) {}
}
