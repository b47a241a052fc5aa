package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;

/**
 * Follows the objects of one kind in the platform's store by listing them and then watching for
 * changes; it never stops.
 *
 * <p>Invariants: at most one call is open at a time; changes are reported in the order of the
 * store; if the store no longer holds the changes since the last known revision, all objects are
 * listed again. Confined to the control thread.
 */
final class StoreFeed {
    /** Minimum delay after a failed call; the delay is random and up to twice as long. */
    private static final int MINIMUM_RETRY_DELAY_MILLIS = 100;

    /** Shortest wait of a call, whose response confirms at once. */
    private static final long MINIMUM_WAIT_MILLIS = 1;

    /**
     * Time by which a confirmation may become older than the longest wait. A response with a change
     * confirms only up to its request, so the call after it waits for less.
     */
    private static final long ADDITIONAL_AGE_MILLIS = 500;

    private final ControlLoop mControl;
    private final ObjectClient mClient;
    private final String mKind;
    private final long mWaitMillis;
    private final LongSupplier mMinimumIntervalMillis;
    private final RandomGenerator mRandom;
    private final Listener mListener;
    private boolean mListed;
    private boolean mUnavailable;
    private long mRevision;
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
        mRandom = random;
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
            mClient.awaitChanges(mKind, mRevision, waitMillis)
                    .thenAccept(changes -> applyChanges(changes, waitMillis))
                    .whenComplete((ignored, failure) -> scheduleNextPoll(failure));
        } else {
            mClient.listAll(mKind)
                    .thenAccept(this::applyListing)
                    .whenComplete((ignored, failure) -> scheduleNextPoll(failure));
        }
    }

    private void applyListing(ObjectClient.Listing listing) {
        markAvailable();
        try {
            mListener.onListed(listing.items());
        } catch (RuntimeException e) {
            // Listing again would fail again; later changes still have to arrive.
            EventLog.write("store", "listing.skipped", "kind", mKind, "reason", e);
        }
        mRevision = listing.revision();
        mListed = true;
        confirm(mRequestedMillis);
    }

    private void applyChanges(ObjectClient.Changes changes, long waitMillis) {
        markAvailable();
        if (changes.historyGone()) {
            EventLog.write("store", "history.gone", "kind", mKind, "revision", mRevision);
            mListed = false;
            return;
        }
        changes.events().forEach(this::applyChange);
        mRevision = changes.revision();
        confirm(confirmedMillis(changes.events().isEmpty(), waitMillis, ExpiryClock.nowMillis()));
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
    private long confirmedMillis(boolean isUnchanged, long waitMillis, long nowMillis) {
        boolean hasWaited = nowMillis - mRequestedMillis >= waitMillis;
        return isUnchanged && hasWaited ? mRequestedMillis + waitMillis : mRequestedMillis;
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
        int delayMillis = MINIMUM_RETRY_DELAY_MILLIS + mRandom.nextInt(MINIMUM_RETRY_DELAY_MILLIS);
        mControl.schedule(Duration.ofMillis(delayMillis), this::poll);
    }

    /** Receives the objects of a kind and their changes on the control thread. */
    interface Listener {
        /** Called with all objects of the kind, which replace those reported before. */
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
