package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.transport.ConnectionUse;

/**
 * Follows the objects of one kind in the platform's store by listing them and then watching for
 * changes; it never stops.
 *
 * <p>Invariants: a wait for changes that gets no response in time, or fails, is repeated once over
 * a new connection, since a connection may fall silent for good; the store is unavailable only if
 * that fails, too. Changes are reported in the order of the store; if the store no longer holds the
 * changes since the last known version, or begins a new era, all objects are listed again. Confined
 * to the control thread.
 */
final class StoreFeed {
    /** Shortest wait of a call, whose response confirms at once. */
    private static final long MINIMUM_WAIT_MILLIS = 1;

    /**
     * Time by which a confirmation may become older than the longest wait. A response with a change
     * confirms only up to its request, so the call after it waits for less.
     */
    private static final long ADDITIONAL_AGE_MILLIS = 500;

    /** Time without a response, after the end of the wait, after which the call is repeated. */
    private static final long REPEAT_DELAY_MILLIS = 300;

    private final ControlLoop mControl;
    private final ObjectClient mClient;
    private final String mKind;
    private final long mWaitMillis;
    private final LongSupplier mMinimumIntervalMillis;
    private final RetryDelay mRetryDelay;
    private final Listener mListener;
    private boolean mListed;
    private boolean mUnavailable;
    private long mVersion;
    private long mRequestedMillis;
    private long mConfirmedMillis;

    private StoreFeed(
            ControlLoop control,
            ObjectClient client,
            String kind,
            long waitMillis,
            LongSupplier minimumIntervalMillis,
            RandomGenerator random,
            Listener listener) {
        mControl = control;
        mClient = client;
        mKind = kind;
        mWaitMillis = waitMillis;
        mMinimumIntervalMillis = minimumIntervalMillis;
        mRetryDelay = RetryDelay.create(random);
        mListener = listener;
    }

    /**
     * Starts to follow the objects of a kind.
     *
     * @param kind one of the platform's kinds
     * @param waitMillis maximum time for which the store waits for a change before it responds
     * @param minimumIntervalMillis supplies the minimum time from the start of one call to the
     *     start of the next
     * @param random source for the delay after a failed call
     * @param listener receives the objects and changes
     */
    static StoreFeed start(
            ControlLoop control,
            ObjectClient client,
            String kind,
            long waitMillis,
            LongSupplier minimumIntervalMillis,
            RandomGenerator random,
            Listener listener) {
        StoreFeed feed =
                new StoreFeed(
                        control, client, kind, waitMillis, minimumIntervalMillis, random, listener);
        control.execute(feed::poll);
        return feed;
    }

    private void poll() {
        mRequestedMillis = ExpiryClock.nowMillis();
        if (mListed) {
            long remainingMillis =
                    mConfirmedMillis + mWaitMillis + ADDITIONAL_AGE_MILLIS - mRequestedMillis;
            long waitMillis = Math.max(MINIMUM_WAIT_MILLIS, Math.min(mWaitMillis, remainingMillis));
            new Watch().start(waitMillis);
        } else {
            mClient.listAll(mKind, mListener.selection(), mListener::isOfUse)
                    .thenAccept(this::applyListing)
                    .whenComplete((ignored, failure) -> scheduleNextPoll(failure));
        }
    }

    private void applyListing(ObjectListing listing) {
        markAvailable();
        try {
            mListener.onListed(listing.items());
        } catch (RuntimeException e) {
            // Listing again would fail again; later changes still have to arrive.
            EventLog.write("store", "listing.skipped", "kind", mKind, "reason", e);
        }
        mVersion = listing.version();
        mListed = true;
        confirm(mRequestedMillis);
    }

    private void applyChanges(StoreChanges changes, long requestedMillis, long waitMillis) {
        markAvailable();
        if (changes.historyGone()) {
            EventLog.write(
                    "store",
                    "history.gone",
                    "kind",
                    mKind,
                    "revision",
                    ObjectVersion.revisionOf(mVersion));
            mListed = false;
            return;
        }
        changes.events().forEach(this::applyChange);
        mVersion = changes.version();
        confirm(confirmedMillis(changes.events().isEmpty(), requestedMillis, waitMillis));
    }

    private void confirm(long confirmedMillis) {
        mConfirmedMillis = confirmedMillis;
        mListener.onConfirmed(confirmedMillis);
    }

    /** Passes a change on; one that can't be handled is skipped, so that later ones arrive. */
    private void applyChange(JsonNode event) {
        JsonNode object = event.path("object");
        try {
            if (event.path("tombstone").asBoolean(false)) {
                mListener.onRemoved(ObjectClient.nameOf(object));
            } else {
                mListener.onChanged(object);
            }
        } catch (RuntimeException e) {
            EventLog.write(
                    "store",
                    "change.skipped",
                    "kind",
                    mKind,
                    "name",
                    ObjectClient.nameOf(object),
                    "reason",
                    e);
        }
    }

    /**
     * Returns the time at which the known objects were the newest.
     *
     * <p>A store that reports no change has waited for the whole time before it responded, unless
     * the response arrives earlier than that.
     */
    private static long confirmedMillis(
            boolean isUnchanged, long requestedMillis, long waitMillis) {
        boolean hasWaited = ExpiryClock.nowMillis() - requestedMillis >= waitMillis;
        return isUnchanged && hasWaited ? requestedMillis + waitMillis : requestedMillis;
    }

    private void markAvailable() {
        if (mUnavailable) {
            mUnavailable = false;
            EventLog.write("store", "dependency.back", "kind", mKind);
        }
        mListener.onStoreAvailable();
    }

    private void scheduleNextPoll(Throwable failure) {
        if (failure == null) {
            mRetryDelay.recordSuccess();
            long remainingMillis =
                    mRequestedMillis + mMinimumIntervalMillis.getAsLong() - ExpiryClock.nowMillis();
            mControl.schedule(Duration.ofMillis(Math.max(0, remainingMillis)), this::poll);
            return;
        }
        if (!mUnavailable) {
            mUnavailable = true;
            EventLog.write(
                    "store", "dependency.lost", "kind", mKind, "reason", failure.getMessage());
        }
        mListener.onStoreUnavailable();
        mControl.schedule(Duration.ofMillis(mRetryDelay.afterFailure()), this::poll);
    }

    /**
     * One wait for changes, with its repetition.
     *
     * <p>Invariant: the first response counts. Confined to the control thread.
     */
    private final class Watch {
        private int mOpenCalls;
        private boolean mRepeated;
        private boolean mAnswered;
        private boolean mEnded;

        void start(long waitMillis) {
            call(waitMillis, ConnectionUse.ANY);
            mControl.schedule(
                    Duration.ofMillis(waitMillis + REPEAT_DELAY_MILLIS), this::repeatUnlessEnded);
        }

        private void call(long waitMillis, ConnectionUse use) {
            mOpenCalls++;
            long requestedMillis = ExpiryClock.nowMillis();
            mClient.awaitChanges(mKind, mVersion, waitMillis, use, mListener.selection())
                    .thenAccept(changes -> onResponse(changes, requestedMillis, waitMillis))
                    .whenComplete((ignored, failure) -> onCallEnded(failure));
        }

        private void onResponse(StoreChanges changes, long requestedMillis, long waitMillis) {
            if (!mAnswered) {
                mAnswered = true;
                applyChanges(changes, requestedMillis, waitMillis);
            }
        }

        private void onCallEnded(Throwable failure) {
            mOpenCalls--;
            if (mEnded) {
                return;
            }
            if (!mAnswered && !mRepeated && !mUnavailable) {
                repeatUnlessEnded();
            } else if (mAnswered || mOpenCalls == 0) {
                mEnded = true;
                scheduleNextPoll(failure);
            }
        }

        private void repeatUnlessEnded() {
            if (!mEnded && !mRepeated) {
                mRepeated = true;
                EventLog.write(
                        "store",
                        "watch.repeated",
                        "kind",
                        mKind,
                        "revision",
                        ObjectVersion.revisionOf(mVersion));
                call(MINIMUM_WAIT_MILLIS, ConnectionUse.NEW);
            }
        }
    }

    /** Receives the objects of a kind and their changes on the control thread. */
    interface Listener {
        /** Returns what is needed of each object. */
        default JsonSelection selection() {
            return JsonSelection.EVERYTHING;
        }

        /** Returns whether an object of a listing is to be reported; others take no memory. */
        default boolean isOfUse(JsonNode object) {
            return true;
        }

        /** Called with all objects of use, which replace those reported before. */
        void onListed(List<JsonNode> objects);

        /** Called with each new or changed object. */
        void onChanged(JsonNode object);

        /** Called with the name of each removed object. */
        void onRemoved(String name);

        /**
         * Called after the objects or changes of a response have been reported.
         *
         * @param confirmedMillis time at which they were the newest, from {@link ExpiryClock}
         */
        void onConfirmed(long confirmedMillis);

        /** Called after each successful call, before its result is reported. */
        void onStoreAvailable();

        /** Called after each failed call. */
        void onStoreUnavailable();
    }
}
