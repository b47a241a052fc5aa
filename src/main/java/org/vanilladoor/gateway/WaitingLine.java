package org.vanilladoor.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests of one service that wait for an engine with room.
 *
 * <p>Those that can still be on time go first, the most urgent rank and the earliest objective
 * first; those that will be late follow, the latest arrival first, since it has the most time left.
 * Invariant: a request stands in the line at most once. Time goes in; belongs to the control
 * thread.
 */
final class WaitingLine {
    private static final Comparator<Waiting> ORDER =
            Comparator.comparingInt(Waiting::rank)
                    .thenComparingLong(Waiting::objectiveMillis)
                    .thenComparingLong(Waiting::number);
    private final TreeSet<Waiting> mWaiting = new TreeSet<>(ORDER);
    private long mNumber;

    private WaitingLine() {}

    static WaitingLine create() {
        return new WaitingLine();
    }

    /**
     * Puts a request into the line.
     *
     * @param rank urgency, 0 goes first
     * @param objectiveMillis time by which its first byte is on time
     * @param attempt tries to send the request and returns whether it has left the line
     */
    Waiting add(int rank, long objectiveMillis, Attempt attempt) {
        Waiting waiting = new Waiting(rank, objectiveMillis, mNumber++, attempt);
        mWaiting.add(waiting);
        return waiting;
    }

    void remove(Waiting waiting) {
        mWaiting.remove(waiting);
    }

    int size() {
        return mWaiting.size();
    }

    /** Lets requests leave in order, until one finds no room. */
    void advance(long nowMillis) {
        Predicate<Waiting> onTime = waiting -> waiting.objectiveMillis() >= nowMillis;
        boolean room = leave(mWaiting.stream().filter(onTime).toList());
        if (room) {
            leave(mWaiting.descendingSet().stream().filter(onTime.negate()).toList());
        }
    }

    private boolean leave(List<Waiting> waiting) {
        for (Waiting each : waiting) {
            if (mWaiting.contains(each)) {
                if (!each.attempt().tryNow()) {
                    return false;
                }
                mWaiting.remove(each);
            }
        }
        return true;
    }

    /** Tries to send a request. */
    interface Attempt {
        /** Returns whether the request has left the line. */
        boolean tryNow();
    }

    /** A request with its place in the line. */
    record Waiting(int rank, long objectiveMillis, long number, Attempt attempt) {}
}
