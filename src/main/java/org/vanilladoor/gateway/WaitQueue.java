package org.vanilladoor.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests of one service that wait for a prefill engine with room.
 *
 * <p>Requests that can still meet their latency objective are dispatched first, ordered by rank and
 * then by earliest objective. Late requests follow, ordered by rank and then by latest arrival,
 * since the latest arrival has the most time left. A request is abandoned as soon as its turn, as
 * estimated from the recent departure rate, would come too late. This bounds the wait when more
 * prompts arrive than the engines can prefill. Invariant: a request is in the queue at most once.
 * Time is passed in as an argument. Confined to the control thread.
 */
final class WaitQueue {
    /**
     * Time constant of the exponential average of the departure rate; bursts of load last a few
     * times as long.
     */
    private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;

    /**
     * Minimum departure rate that is assumed, so that a pause in departures does not cause all
     * queued requests to be abandoned.
     */
    private static final double MINIMUM_DEPARTURES_PER_SECOND = 2;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Comparator<QueuedRequest> ON_TIME_ORDER =
            Comparator.comparingInt(QueuedRequest::rank)
                    .thenComparingLong(QueuedRequest::objectiveMillis)
                    .thenComparingLong(QueuedRequest::number);
    private static final Comparator<QueuedRequest> LATE_ORDER =
            Comparator.comparingInt(QueuedRequest::rank)
                    .thenComparing(QueuedRequest::objectiveMillis, Comparator.reverseOrder())
                    .thenComparing(QueuedRequest::number, Comparator.reverseOrder());
    private final Set<QueuedRequest> mRequests = new TreeSet<>(ON_TIME_ORDER);
    private long mNextNumber;
    private double mDepartures;
    private long mLastDepartureMillis;
    private boolean mAdvancing;
    private boolean mAdvanceRequested;

    private WaitQueue() {}

    static WaitQueue create() {
        return new WaitQueue();
    }

    /**
     * Adds a request to the queue.
     *
     * @param rank urgency; 0 is dispatched first
     * @param objectiveMillis time by which the first byte of the response is due
     * @param latestMillis time after which the request can not be served before its deadline
     * @param attempt dispatches or abandons the request
     */
    QueuedRequest add(int rank, long objectiveMillis, long latestMillis, Attempt attempt) {
        QueuedRequest request =
                new QueuedRequest(rank, objectiveMillis, latestMillis, mNextNumber++, attempt);
        mRequests.add(request);
        return request;
    }

    void remove(QueuedRequest request) {
        mRequests.remove(request);
    }

    int size() {
        return mRequests.size();
    }

    /** Records that a request was sent to a prefill engine, whether it was queued or not. */
    void recordDeparture(long nowMillis) {
        mDepartures = recentDepartures(nowMillis) + 1;
        mLastDepartureMillis = nowMillis;
    }

    /** Returns the estimated time until all requests now queued have been dispatched. */
    long drainMillis(long nowMillis) {
        return estimatedWaitMillis(mRequests.size(), nowMillis);
    }

    /**
     * Dispatches requests in order until one finds no room and lets none pass, and abandons those
     * whose turn would come too late.
     *
     * <p>A request that ends calls this method again. Such a nested call does not recurse: it makes
     * the outer call repeat its pass over the queue.
     */
    void advance(long nowMillis) {
        mAdvanceRequested = true;
        if (mAdvancing) {
            return;
        }
        mAdvancing = true;
        try {
            while (mAdvanceRequested) {
                mAdvanceRequested = false;
                advanceOnce(nowMillis);
            }
        } finally {
            mAdvancing = false;
        }
    }

    private void advanceOnce(long nowMillis) {
        boolean hasRoom = true;
        int ahead = 0;
        for (QueuedRequest request : inDispatchOrder(nowMillis)) {
            if (!mRequests.contains(request)) {
                continue;
            }
            boolean isDispatched = hasRoom && request.attempt().tryDispatch();
            hasRoom = hasRoom && (isDispatched || !request.attempt().blocksOthers());
            long turnMillis = estimatedWaitMillis(ahead + 1, nowMillis);
            if (isDispatched) {
                mRequests.remove(request);
            } else if (nowMillis + turnMillis > request.latestMillis()) {
                mRequests.remove(request);
                request.attempt().abandon(ahead, turnMillis);
            } else {
                ahead++;
            }
        }
    }

    private List<QueuedRequest> inDispatchOrder(long nowMillis) {
        List<QueuedRequest> onTime = new ArrayList<>();
        List<QueuedRequest> late = new ArrayList<>();
        for (QueuedRequest request : mRequests) {
            (request.objectiveMillis() >= nowMillis ? onTime : late).add(request);
        }
        late.sort(LATE_ORDER);
        onTime.addAll(late);
        return onTime;
    }

    private long estimatedWaitMillis(int requestCount, long nowMillis) {
        double departuresPerSecond =
                recentDepartures(nowMillis) / RATE_TIME_CONSTANT_MILLIS * MILLIS_PER_SECOND;
        return (long)
                (requestCount
                        * MILLIS_PER_SECOND
                        / Math.max(MINIMUM_DEPARTURES_PER_SECOND, departuresPerSecond));
    }

    private double recentDepartures(long nowMillis) {
        return mDepartures
                * Math.exp((mLastDepartureMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
    }

    /** Dispatches or abandons a queued request. */
    interface Attempt {
        /** Tries to dispatch the request; returns whether it has left the queue. */
        boolean tryDispatch();

        /** Returns whether others must wait as well, after this one could not be dispatched. */
        default boolean blocksOthers() {
            return true;
        }

        /**
         * Ends the request, because its turn would come too late.
         *
         * @param ahead number of requests ahead in the queue
         * @param turnMillis estimated time until its turn
         */
        void abandon(int ahead, long turnMillis);
    }

    /** A queued request and the keys that determine its place in the queue. */
    record QueuedRequest(
            int rank, long objectiveMillis, long latestMillis, long number, Attempt attempt) {}
}
