package org.vanilladoor.claim;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * One shard of the claim log, written by conditional update.
 *
 * <p>Operations that are submitted during a write are committed together by the next write.
 * Invariants: a process appends a record only if it has read the whole log before it; an operation
 * completes either with an outcome that follows from the log as read or written, or as unknown
 * after its deadline. Confined to the control thread, on which the given executor runs its tasks.
 */
final class ClaimShard {
    private static final int MAXIMUM_BATCH_RECORDS = 200;

    /** How long after its last use a shard is still refreshed. */
    private static final long REFRESH_AFTER_USE_MILLIS = 60_000;

    private final String mPrefix;
    private final ObjectStore mStore;
    private final Executor mControl;
    private final LongSupplier mClockMillis;
    private final LongSupplier mEpochMillis;
    private final ClaimIndex mIndex = ClaimIndex.create();
    private final Deque<Operation> mPending = new ArrayDeque<>();
    private final TreeMap<Long, ClaimSegment> mSegments = new TreeMap<>();
    private ClaimSegment mCurrent = ClaimSegment.first();
    private long mCurrentVersion = ObjectStore.ABSENT;
    private boolean mCurrentIsKnown;
    private boolean mStoreCallOutstanding;
    private long mLastUsedMillis = Long.MIN_VALUE / 2;

    private ClaimShard(
            String prefix,
            ObjectStore store,
            Executor control,
            LongSupplier clockMillis,
            LongSupplier epochMillis) {
        mPrefix = prefix;
        mStore = store;
        mControl = control;
        mClockMillis = clockMillis;
        mEpochMillis = epochMillis;
    }

    static ClaimShard create(
            String prefix,
            ObjectStore store,
            Executor control,
            LongSupplier clockMillis,
            LongSupplier epochMillis) {
        return new ClaimShard(prefix, store, control, clockMillis, epochMillis);
    }

    /** Returns the end of the log as known to this process. */
    long knownPosition() {
        return mIndex.endPosition();
    }

    /** Records that the shard is in use and returns the known end of the log. */
    long recordUseAndReturnPosition() {
        mLastUsedMillis = mClockMillis.getAsLong();
        return mIndex.endPosition();
    }

    CompletableFuture<ClaimOutcome> submit(ClaimRules rules, Attempt attempt) {
        Operation operation = new Operation(rules, attempt, new CompletableFuture<>());
        mPending.add(operation);
        processPending();
        return operation.result();
    }

    /**
     * Reads the records that other processes have appended, so that later attempts are created with
     * knowledge of them. Does nothing while a store call is outstanding.
     */
    void refresh() {
        if (!mStoreCallOutstanding) {
            mCurrentIsKnown = false;
            load();
        }
    }

    /** Does a {@link #refresh} if an attempt was created recently. */
    void refreshIfUsed() {
        if (mClockMillis.getAsLong() - mLastUsedMillis < REFRESH_AFTER_USE_MILLIS) {
            refresh();
        }
    }

    /** Completes operations past their deadline as unknown and processes the others. */
    void tick() {
        long nowMillis = mClockMillis.getAsLong();
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            if (nowMillis >= operation.attempt().deadlineMillis()) {
                pending.remove();
                operation.result().complete(ClaimOutcome.unknown());
            }
        }
        processPending();
    }

    /** Deletes sealed segments all of whose records are older than the given wall time. */
    void expire(long beforeEpochMillis) {
        for (Iterator<ClaimSegment> segments = mSegments.values().iterator();
                segments.hasNext(); ) {
            ClaimSegment segment = segments.next();
            if (segment.newestEpochMillis() >= beforeEpochMillis) {
                return;
            }
            segments.remove();
            mIndex.remove(segment);
            mStore.delete(objectName(segment.number()));
            segment.records()
                    .forEach(
                            record -> mStore.delete(ClaimLog.responseObjectName(record.attempt())));
        }
    }

    private void processPending() {
        if (mStoreCallOutstanding || mPending.isEmpty()) {
            return;
        }
        if (!mCurrentIsKnown) {
            load();
        } else if (mCurrent.sealed()) {
            advanceToNextSegment(mCurrent);
            load();
        } else {
            commit();
        }
    }

    private void load() {
        mStoreCallOutstanding = true;
        if (mCurrentVersion == ObjectStore.ABSENT && mCurrent.number() == 0) {
            mStore.list(mPrefix).whenCompleteAsync(this::onListed, mControl);
        } else {
            readCurrent();
        }
    }

    private void onListed(List<String> names, Throwable failure) {
        if (failure != null) {
            mStoreCallOutstanding = false;
            return;
        }
        names.stream()
                .mapToLong(name -> Long.parseLong(name.substring(mPrefix.length())))
                .min()
                .ifPresent(number -> mCurrent = new ClaimSegment(number, 0, false, List.of()));
        readCurrent();
    }

    private void readCurrent() {
        mStore.read(objectName(mCurrent.number())).whenCompleteAsync(this::onLoaded, mControl);
    }

    private void onLoaded(Optional<StoredObject> found, Throwable failure) {
        mStoreCallOutstanding = false;
        if (failure != null) {
            return;
        }
        if (found.isEmpty() && mCurrentVersion != ObjectStore.ABSENT) {
            // Another process deleted the expired segment after this process last read it.
            mCurrentVersion = ObjectStore.ABSENT;
            mCurrent = ClaimSegment.first();
            load();
            return;
        }
        if (found.isPresent()) {
            apply(
                    Json.read(found.get().content(), new TypeReference<ClaimSegment>() {}),
                    found.get().version());
        }
        if (mCurrent.sealed()) {
            advanceToNextSegment(mCurrent);
            load();
        } else {
            mCurrentIsKnown = true;
            processPending();
        }
    }

    private void commit() {
        List<Operation> batch = new ArrayList<>();
        List<ClaimRecord> records = new ArrayList<>();
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            boolean keyIsInBatch =
                    batch.stream()
                            .anyMatch(
                                    other ->
                                            other.attempt()
                                                    .key()
                                                    .equals(operation.attempt().key()));
            if (keyIsInBatch || batch.size() >= MAXIMUM_BATCH_RECORDS) {
                continue;
            }
            ClaimRules.Step step = decide(operation);
            if (step.outcome().isPresent()) {
                pending.remove();
                operation.result().complete(step.outcome().get());
            } else {
                batch.add(operation);
                records.add(record(step.append().orElseThrow(), operation.attempt()));
            }
        }
        if (!records.isEmpty()) {
            write(mCurrent.append(records));
        }
    }

    private void write(ClaimSegment next) {
        mStoreCallOutstanding = true;
        mStore.write(objectName(next.number()), mCurrentVersion, Json.write(next))
                .whenCompleteAsync(
                        (version, failure) -> onWritten(next, version, failure), mControl);
    }

    /** Handles the result of a write; after a failure the log is read again to learn its effect. */
    private void onWritten(ClaimSegment next, Long version, Throwable failure) {
        mStoreCallOutstanding = false;
        if (failure != null) {
            mCurrentIsKnown = false;
        } else {
            apply(next, version);
            completeWritten();
        }
        processPending();
    }

    private void completeWritten() {
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            boolean lastRecordIsByAttempt =
                    mIndex.lookUp(operation.attempt().key())
                            .filter(state -> state.isBy(operation.attempt()))
                            .isPresent();
            Optional<ClaimOutcome> outcome =
                    lastRecordIsByAttempt ? decide(operation).outcome() : Optional.empty();
            if (outcome.isPresent()) {
                pending.remove();
                operation.result().complete(outcome.get());
            }
        }
    }

    private ClaimRules.Step decide(Operation operation) {
        return operation
                .rules()
                .decide(operation.attempt(), mIndex.lookUp(operation.attempt().key()));
    }

    private ClaimRecord record(ClaimRecord.Kind kind, Attempt attempt) {
        return new ClaimRecord(
                kind,
                attempt.key(),
                attempt.identifier(),
                attempt.request(),
                mEpochMillis.getAsLong());
    }

    private void apply(ClaimSegment segment, long version) {
        mIndex.add(segment);
        mCurrent = segment;
        mCurrentVersion = version;
    }

    private void advanceToNextSegment(ClaimSegment sealed) {
        mSegments.put(sealed.number(), sealed);
        mCurrent = sealed.next();
        mCurrentVersion = ObjectStore.ABSENT;
        mCurrentIsKnown = false;
    }

    private String objectName(long number) {
        return mPrefix + String.format("%012d", number);
    }

    /** An operation that waits for its outcome. */
    private record Operation(
            ClaimRules rules, Attempt attempt, CompletableFuture<ClaimOutcome> result) {}
}
