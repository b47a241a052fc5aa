package org.vanilladoor.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests of one service that wait for an engine with room.
 *
 * <p>Those that can still be on time go first, the most urgent rank and the earliest objective
 * first; those that will be late follow, by rank and the latest arrival first, since it has the
 * most time left. A request whose turn would come too late, at the rate at which requests have been
 * leaving, is given up at once. Answers the load on which more prompts come than the engines can
 * read. Invariant: a request stands in the line at most once. Time goes in; belongs to the control
 * thread.
 */
final class WaitingLine {
    /** Time over which the rate of leaving is averaged; bursts last a few times as long. */
    private static final double RATE_MILLIS = 1_000;

    /** Rate that is assumed at least, in requests per second, so that a pause empties no line. */
    private static final double LEAST_PER_SECOND = 2;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Comparator<Waiting> ON_TIME =
            Comparator.comparingInt(Waiting::rank)
                    .thenComparingLong(Waiting::objectiveMillis)
                    .thenComparingLong(Waiting::number);
    private static final Comparator<Waiting> LATE =
            Comparator.comparingInt(Waiting::rank)
                    .thenComparing(Waiting::objectiveMillis, Comparator.reverseOrder())
                    .thenComparing(Waiting::number, Comparator.reverseOrder());
    private final Set<Waiting> mWaiting = new TreeSet<>(ON_TIME);
    private long mNumber;
    private double mLeft;
    private long mLeftMillis;
    private boolean mAdvancing;
    private boolean mAskedAgain;

    private WaitingLine() {}

    static WaitingLine create() {
        return new WaitingLine();
    }

    /**
     * Puts a request into the line.
     *
     * @param rank urgency, 0 goes first
     * @param objectiveMillis time by which its first byte is on time
     * @param latestMillis time after which it is of no use any more
     * @param attempt tries to send the request, or ends it
     */
    Waiting add(int rank, long objectiveMillis, long latestMillis, Attempt attempt) {
        Waiting waiting = new Waiting(rank, objectiveMillis, latestMillis, mNumber++, attempt);
        mWaiting.add(waiting);
        return waiting;
    }

    void remove(Waiting waiting) {
        mWaiting.remove(waiting);
    }

    int size() {
        return mWaiting.size();
    }

    /** Notes that a request is on its way to an engine, whether it has waited or not. */
    void left(long nowMillis) {
        mLeft = recentlyLeft(nowMillis) + 1;
        mLeftMillis = nowMillis;
    }

    /** Returns the time in which all that wait now will have left, in milliseconds. */
    long drainMillis(long nowMillis) {
        return waitMillis(mWaiting.size(), nowMillis);
    }

    /**
     * Lets requests leave in order, until one finds no room, and gives up those that can't.
     *
     * <p>A request that ends asks for this again; that is done after the present turn, not within.
     */
    void advance(long nowMillis) {
        mAskedAgain = true;
        if (mAdvancing) {
            return;
        }
        mAdvancing = true;
        try {
            while (mAskedAgain) {
                mAskedAgain = false;
                advanceOnce(nowMillis);
            }
        } finally {
            mAdvancing = false;
        }
    }

    private void advanceOnce(long nowMillis) {
        boolean room = true;
        int ahead = 0;
        for (Waiting each : inOrder(nowMillis)) {
            if (!mWaiting.contains(each)) {
                continue;
            }
            room = room && each.attempt().tryNow();
            long turnMillis = waitMillis(ahead + 1, nowMillis);
            if (room) {
                mWaiting.remove(each);
            } else if (nowMillis + turnMillis > each.latestMillis()) {
                mWaiting.remove(each);
                each.attempt().giveUp(ahead, turnMillis);
            } else {
                ahead++;
            }
        }
    }

    private List<Waiting> inOrder(long nowMillis) {
        List<Waiting> order = new ArrayList<>();
        List<Waiting> late = new ArrayList<>();
        for (Waiting each : mWaiting) {
            (each.objectiveMillis() >= nowMillis ? order : late).add(each);
        }
        late.sort(LATE);
        order.addAll(late);
        return order;
    }

    private long waitMillis(int requests, long nowMillis) {
        double perSecond = recentlyLeft(nowMillis) / RATE_MILLIS * MILLIS_PER_SECOND;
        return (long) (requests * MILLIS_PER_SECOND / Math.max(LEAST_PER_SECOND, perSecond));
    }

    private double recentlyLeft(long nowMillis) {
        return mLeft * Math.exp((mLeftMillis - nowMillis) / RATE_MILLIS);
    }

    /** What becomes of a waiting request. */
    interface Attempt {
        /** Tries to send it; returns whether it has left the line. */
        boolean tryNow();

        /**
         * Ends it, since its turn would come too late.
         *
         * @param ahead requests that go before it
         * @param turnMillis time until its turn would have come
         */
        void giveUp(int ahead, long turnMillis);
    }

    /** A request with its place in the line. */
    record Waiting(
            int rank, long objectiveMillis, long latestMillis, long number, Attempt attempt) {}
}
