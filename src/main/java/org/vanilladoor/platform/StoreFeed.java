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
 * Follows one kind of the platform's store, for ever.
 *
 * <p>Invariants: one call is open at a time; a change is handed over in the order of the store;
 * what the store has forgotten is listed again. Belongs to the control thread.
 */
final class StoreFeed {
    /** Pause after a failed call, in milliseconds; the next one is up to twice as late. */
    private static final int PAUSE_MILLIS = 100;

    private final ControlLoop mControl;
    private final ObjectClient mClient;
    private final String mKind;
    private final long mWaitMillis;
    private final LongSupplier mPaceMillis;
    private final RandomGenerator mRandom;
    private final Listener mListener;
    private boolean mListed;
    private boolean mAway;
    private long mRevision;
    private long mAskedMillis;

    private StoreFeed(
            ControlLoop control,
            ObjectClient client,
            String kind,
            long waitMillis,
            LongSupplier paceMillis,
            RandomGenerator random,
            Listener listener) {
        mControl = control;
        mClient = client;
        mKind = kind;
        mWaitMillis = waitMillis;
        mPaceMillis = paceMillis;
        mRandom = random;
        mListener = listener;
    }

    /**
     * Starts to follow a kind.
     *
     * @param kind kind of the platform
     * @param waitMillis how long the store waits for a change before it answers
     * @param paceMillis tells the shortest time between two questions
     */
    static StoreFeed start(
            ControlLoop control,
            ObjectClient client,
            String kind,
            long waitMillis,
            LongSupplier paceMillis,
            RandomGenerator random,
            Listener listener) {
        StoreFeed feed =
                new StoreFeed(control, client, kind, waitMillis, paceMillis, random, listener);
        control.execute(feed::next);
        return feed;
    }

    private void next() {
        mAskedMillis = ExpiryClock.nowMillis();
        if (mListed) {
            mClient.changes(mKind, mRevision, mWaitMillis)
                    .thenAccept(this::take)
                    .whenComplete((done, failure) -> proceed(failure));
        } else {
            mClient.listAll(mKind)
                    .thenAccept(this::take)
                    .whenComplete((done, failure) -> proceed(failure));
        }
    }

    private void take(ObjectClient.Listing listing) {
        back();
        mListener.listed(listing.items());
        mRevision = listing.revision();
        mListed = true;
        mListener.confirmed(mAskedMillis);
    }

    private void take(ObjectClient.Changes changes) {
        back();
        if (changes.forgotten()) {
            EventLog.write("store", "history.gone", "kind", mKind, "revision", mRevision);
            mListed = false;
            return;
        }
        for (JsonNode event : changes.events()) {
            JsonNode object = event.path("object");
            if (event.path("tombstone").asBoolean(false)) {
                mListener.removed(ObjectClient.nameOf(object));
            } else {
                mListener.changed(object);
            }
        }
        mRevision = changes.revision();
        mListener.confirmed(mAskedMillis);
    }

    private void back() {
        if (mAway) {
            mAway = false;
            EventLog.write("store", "dependency.back", "kind", mKind);
        }
        mListener.back();
    }

    private void proceed(Throwable failure) {
        if (failure == null) {
            long early = mAskedMillis + mPaceMillis.getAsLong() - ExpiryClock.nowMillis();
            mControl.schedule(Duration.ofMillis(Math.max(0, early)), this::next);
            return;
        }
        if (!mAway) {
            mAway = true;
            EventLog.write(
                    "store", "dependency.lost", "kind", mKind, "reason", failure.getMessage());
        }
        mListener.away();
        int pause = PAUSE_MILLIS + mRandom.nextInt(PAUSE_MILLIS);
        mControl.schedule(Duration.ofMillis(pause), this::next);
    }

    /** Hears of a kind, on the control thread. */
    interface Listener {
        /** All objects, in place of what was known. */
        void listed(List<JsonNode> objects);

        /** A new or changed object. */
        void changed(JsonNode object);

        /** An object is gone. */
        void removed(String name);

        /**
         * What is known was the newest.
         *
         * @param askedMillis when the question was sent, by {@link ExpiryClock}
         */
        void confirmed(long askedMillis);

        /** The store answers. */
        void back();

        /** The store does not answer. */
        void away();
    }
}
