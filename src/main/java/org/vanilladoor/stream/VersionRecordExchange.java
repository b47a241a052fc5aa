package org.vanilladoor.stream;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.StoredObjectLister;
import org.vanilladoor.provider.UnreadableObjects;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Keeps a {@link VersionRecord} and the records in the store the same: one object for each version
 * of each service, and one for each settled era.
 *
 * <p>Invariants: an outcome counts only in the era in which its call began; at most {@value
 * #MAXIMUM_OPEN_WRITES} objects are being created. Confined to the control thread.
 */
final class VersionRecordExchange {
    private static final String OBJECT_PREFIX = "versions/";

    /** No digest has a name like this. */
    private static final String SETTLED_PREFIX = OBJECT_PREFIX + "settled.";

    private static final int MAXIMUM_OPEN_WRITES = 8;
    private static final long RETRY_MILLIS = 200;

    /** Spreads the VMs, so that most of them find what one of them has created. */
    private static final int MAXIMUM_DELAY_MILLIS = 100;

    private final VersionRecord mRecord;
    private final ObjectStore mStore;
    private final StoredObjectLister mLister;
    private final LongSupplier mClock;
    private final RandomGenerator mRandom;
    private final SharedCall<Void> mListing;
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();
    private final Set<String> mOpenWrites = new HashSet<>();
    private OptionalLong mCreationMillis = OptionalLong.empty();
    private boolean mCreating;
    private long mNextListingMillis = Long.MIN_VALUE;
    private boolean mListingRequested;

    private VersionRecordExchange(
            VersionRecord record,
            ObjectStore store,
            StoredObjectLister lister,
            CallPace listingPace,
            LongSupplier clock,
            RandomGenerator random) {
        mRecord = record;
        mStore = store;
        mLister = lister;
        mClock = clock;
        mRandom = random;
        mListing = SharedCall.create(this::list, listingPace, clock);
    }

    /**
     * Returns an exchange that has not called the store.
     *
     * @param listingPace pace of the listings
     * @param clock monotonic time in milliseconds
     */
    static VersionRecordExchange create(
            VersionRecord record,
            ObjectStore store,
            StoredObjectLister lister,
            CallPace listingPace,
            LongSupplier clock,
            RandomGenerator random) {
        return new VersionRecordExchange(record, store, lister, listingPace, clock, random);
    }

    /** Starts the calls that are due. */
    void tick() {
        long nowMillis = mClock.getAsLong();
        mRecord.followEra(mStore.era(), nowMillis);
        mListing.tick();
        if (!mRecord.isListedInEra() && !mListingRequested && nowMillis >= mNextListingMillis) {
            requestListing();
        }
        createMissing(nowMillis);
    }

    /** Lists the records by a call that begins now or later; fails if the store can't be read. */
    CompletableFuture<Void> refresh() {
        return mListing.request();
    }

    private void requestListing() {
        mListingRequested = true;
        refresh()
                .whenComplete(
                        (done, failure) -> {
                            mListingRequested = false;
                            if (failure != null) {
                                mNextListingMillis = mClock.getAsLong() + RETRY_MILLIS;
                                logFailure("records.unread", failure);
                            }
                        });
    }

    private CompletableFuture<Void> list() {
        mRecord.followEra(mStore.era(), mClock.getAsLong());
        long era = mRecord.era();
        return mLister.listKind(OBJECT_PREFIX, false)
                .thenCompose(
                        objects -> {
                            if (mStore.era() != era) {
                                return list();
                            }
                            addListed(objects);
                            return CompletableFuture.completedFuture(null);
                        });
    }

    private void addListed(List<StoredObject> objects) {
        String settledName = settledName(mRecord.era());
        boolean isSettled = false;
        boolean isComplete = true;
        List<ServiceVersion> versions = new ArrayList<>();
        for (StoredObject object : objects) {
            if (object.name().startsWith(SETTLED_PREFIX)) {
                isSettled |= object.name().equals(settledName);
                continue;
            }
            Optional<ServiceVersion> version = decode(object);
            version.ifPresent(versions::add);
            isComplete &= version.isPresent();
        }
        mRecord.addListed(versions, isComplete, isSettled);
    }

    private Optional<ServiceVersion> decode(StoredObject object) {
        try {
            return Optional.of(Json.read(object.content(), ServiceVersion.class));
        } catch (UncheckedIOException e) {
            if (mUnreadableObjects.add(object.name(), object.version())) {
                EventLog.write("streams", "record.unreadable", "object", object.name());
            }
            return Optional.empty();
        }
    }

    /** Lists the records once more before it creates one, since another VM may have created it. */
    private void createMissing(long nowMillis) {
        boolean isMissing = !mRecord.unrecorded().isEmpty() || mRecord.maySettle(nowMillis);
        if (!isMissing || mCreating || !mOpenWrites.isEmpty()) {
            return;
        }
        if (mCreationMillis.isEmpty()) {
            mCreationMillis = OptionalLong.of(nowMillis + mRandom.nextInt(MAXIMUM_DELAY_MILLIS));
        }
        if (nowMillis < mCreationMillis.getAsLong()) {
            return;
        }
        mCreating = true;
        refresh()
                .whenComplete(
                        (done, failure) -> {
                            mCreating = false;
                            if (failure == null) {
                                mCreationMillis = OptionalLong.empty();
                                createUnlisted();
                            } else {
                                retryLater("records.unread", failure);
                            }
                        });
    }

    private void createUnlisted() {
        for (ServiceVersion version : mRecord.unrecorded()) {
            create(
                    OBJECT_PREFIX + version.recordName(),
                    version,
                    () -> mRecord.addRecorded(version));
        }
        if (mRecord.maySettle(mClock.getAsLong())) {
            create(settledName(mRecord.era()), Json.newObject(), mRecord::settle);
        }
    }

    private void retryLater(String event, Throwable failure) {
        mCreationMillis = OptionalLong.of(mClock.getAsLong() + RETRY_MILLIS);
        logFailure(event, failure);
    }

    private void create(String name, Object content, Runnable onExisting) {
        if (mOpenWrites.size() >= MAXIMUM_OPEN_WRITES || !mOpenWrites.add(name)) {
            return;
        }
        long era = mRecord.era();
        mStore.write(name, ObjectStore.ABSENT, Json.write(content))
                .whenComplete(
                        (version, failure) -> {
                            mOpenWrites.remove(name);
                            boolean exists =
                                    failure == null
                                            || unwrap(failure) instanceof VersionConflictException;
                            if (!exists) {
                                retryLater("record.unwritten", failure);
                            } else if (mStore.era() == era && mRecord.era() == era) {
                                onExisting.run();
                                EventLog.write(
                                        "streams", "record.exists", "object", name, "era", era);
                            }
                        });
    }

    private static String settledName(long era) {
        return SETTLED_PREFIX + era;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private static void logFailure(String event, Throwable failure) {
        EventLog.write("streams", event, "reason", failure.getMessage());
    }
}
