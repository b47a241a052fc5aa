package org.vanilladoor.gateway;

import org.vanilladoor.common.MonotonicClock;

/**
 * The place of one request in the wait queue of its service.
 *
 * <p>Invariants: the request has at most one place; while it has one, its prompt counts as waiting.
 * Confined to the control thread.
 */
final class QueuePlace {
    private final WaitQueue mQueue;
    private final PrefillLoad mLoad;
    private WaitQueue.QueuedRequest mRequest;

    private QueuePlace(WaitQueue queue, PrefillLoad load) {
        mQueue = queue;
        mLoad = load;
    }

    /** Returns the place of a request that is not in the queue. */
    static QueuePlace create(WaitQueue queue, PrefillLoad load) {
        return new QueuePlace(queue, load);
    }

    boolean isTaken() {
        return mRequest != null;
    }

    /**
     * Takes a place.
     *
     * @see WaitQueue#add
     */
    void take(int rank, long objectiveMillis, long latestMillis, WaitQueue.Attempt attempt) {
        mRequest = mQueue.add(rank, objectiveMillis, latestMillis, attempt);
        mLoad.startWaiting();
    }

    /** Gives the place up, if there is one. */
    void leave() {
        if (isTaken()) {
            mQueue.remove(mRequest);
            end();
        }
    }

    /** Records that the queue has let the request go. */
    void end() {
        mRequest = null;
        mLoad.endWaiting(MonotonicClock.nowMillis());
    }
}
