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
 * <p>Operations that wait while a write is under way are committed together by the next one.
 * Invariants: a record is appended only by a process that knows the whole log before it; an
 * operation completes only with what the log was read or written to say, or as unknown after its
 * deadline. Belongs to the control thread, which is the executor.
 */
final class ClaimShard {
    private static final int MAXIMUM_BATCH = 200;
    private static final long USED_MILLIS = 60_000;
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
    private boolean mBusy;
    private long mUsedMillis = Long.MIN_VALUE / 2;

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

    /** Returns the end of the log as it is known. */
    long knownPosition() {
        return mIndex.endPosition();
    }

    /** Returns the end of the log as it is known, for an attempt that comes in now. */
    long positionForAttempt() {
        mUsedMillis = mClockMillis.getAsLong();
        return mIndex.endPosition();
    }

    CompletableFuture<ClaimOutcome> submit(ClaimRules rules, Attempt attempt) {
        Operation operation = new Operation(rules, attempt, new CompletableFuture<>());
        mPending.add(operation);
        proceed();
        return operation.result();
    }

    /** Reads what others have appended, so that later attempts know of it. */
    void refresh() {
        if (!mBusy) {
            mCurrentIsKnown = false;
            load();
        }
    }

    /** Reads what others have appended, if attempts have come in lately. */
    void refreshIfUsed() {
        if (mClockMillis.getAsLong() - mUsedMillis < USED_MILLIS) {
            refresh();
        }
    }

    /** Gives up operations whose deadline has passed and goes on with the others. */
    void tick() {
        long now = mClockMillis.getAsLong();
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            if (now >= operation.attempt().deadlineMillis()) {
                pending.remove();
                operation.result().complete(ClaimOutcome.unknown());
            }
        }
        proceed();
    }

    /** Drops sealed segments whose records are all older than the given wall time. */
    void expire(long beforeEpochMillis) {
        for (Iterator<ClaimSegment> old = mSegments.values().iterator(); old.hasNext(); ) {
            ClaimSegment segment = old.next();
            if (segment.newestEpochMillis() >= beforeEpochMillis) {
                return;
            }
            old.remove();
            mIndex.remove(segment);
            mStore.delete(objectName(segment.number()));
            segment.records()
                    .forEach(record -> mStore.delete(ClaimLog.answerObject(record.attempt())));
        }
    }

    private void proceed() {
        if (mBusy || mPending.isEmpty()) {
            return;
        }
        if (!mCurrentIsKnown) {
            load();
        } else if (mCurrent.sealed()) {
            advance(mCurrent);
            load();
        } else {
            commit();
        }
    }

    private void load() {
        mBusy = true;
        if (mCurrentVersion == ObjectStore.ABSENT && mCurrent.number() == 0) {
            mStore.list(mPrefix).whenCompleteAsync(this::listed, mControl);
        } else {
            readCurrent();
        }
    }

    private void listed(List<String> names, Throwable failure) {
        if (failure != null) {
            mBusy = false;
            return;
        }
        names.stream()
                .mapToLong(name -> Long.parseLong(name.substring(mPrefix.length())))
                .min()
                .ifPresent(number -> mCurrent = new ClaimSegment(number, 0, false, List.of()));
        readCurrent();
    }

    private void readCurrent() {
        mStore.read(objectName(mCurrent.number())).whenCompleteAsync(this::loaded, mControl);
    }

    private void loaded(Optional<StoredObject> found, Throwable failure) {
        mBusy = false;
        if (failure != null) {
            return;
        }
        if (found.isEmpty() && mCurrentVersion != ObjectStore.ABSENT) {
            // The segment expired and was dropped while this process did not look.
            mCurrentVersion = ObjectStore.ABSENT;
            mCurrent = ClaimSegment.first();
            load();
            return;
        }
        if (found.isPresent()) {
            take(
                    Json.read(found.get().content(), new TypeReference<ClaimSegment>() {}),
                    found.get().version());
        }
        if (mCurrent.sealed()) {
            advance(mCurrent);
            load();
        } else {
            mCurrentIsKnown = true;
            proceed();
        }
    }

    private void commit() {
        List<Operation> writing = new ArrayList<>();
        List<ClaimRecord> records = new ArrayList<>();
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            boolean keyIsInBatch =
                    writing.stream()
                            .anyMatch(
                                    other ->
                                            other.attempt()
                                                    .key()
                                                    .equals(operation.attempt().key()));
            if (keyIsInBatch || writing.size() >= MAXIMUM_BATCH) {
                continue;
            }
            ClaimRules.Step step = decide(operation);
            if (step.outcome().isPresent()) {
                pending.remove();
                operation.result().complete(step.outcome().get());
            } else {
                writing.add(operation);
                records.add(record(step.append().orElseThrow(), operation.attempt()));
            }
        }
        if (!records.isEmpty()) {
            write(mCurrent.append(records));
        }
    }

    private void write(ClaimSegment next) {
        mBusy = true;
        mStore.write(objectName(next.number()), mCurrentVersion, Json.write(next))
                .whenCompleteAsync((version, failure) -> written(next, version, failure), mControl);
    }

    /** After a failure the log is read back: it alone says what took effect. */
    private void written(ClaimSegment next, Long version, Throwable failure) {
        mBusy = false;
        if (failure != null) {
            mCurrentIsKnown = false;
        } else {
            take(next, version);
            settleWritten();
        }
        proceed();
    }

    private void settleWritten() {
        for (Iterator<Operation> pending = mPending.iterator(); pending.hasNext(); ) {
            Operation operation = pending.next();
            boolean own =
                    mIndex.lookUp(operation.attempt().key())
                            .filter(state -> state.isBy(operation.attempt()))
                            .isPresent();
            Optional<ClaimOutcome> outcome = own ? decide(operation).outcome() : Optional.empty();
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

    private void take(ClaimSegment segment, long version) {
        mIndex.add(segment);
        mCurrent = segment;
        mCurrentVersion = version;
    }

    private void advance(ClaimSegment sealed) {
        mSegments.put(sealed.number(), sealed);
        mCurrent = sealed.next();
        mCurrentVersion = ObjectStore.ABSENT;
        mCurrentIsKnown = false;
    }

    private String objectName(long number) {
        return mPrefix + String.format("%012d", number);
    }

    /** What waits for the log. */
    private record Operation(
            ClaimRules rules, Attempt attempt, CompletableFuture<ClaimOutcome> result) {}
}
