package org.vanilladoor.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** One team on one VM: its advances, what it waits for and what it returns. */
final class TeamAccount {
    /** Below this share of a unit a sum is taken for 0. */
    private static final double NEGLIGIBLE = 1e-6;

    /**
     * With a shorter pause a team over its allowance would cause a request per VM and round trip.
     */
    private static final long RETRY_MILLIS = 100;

    private final Deque<Advance> mAdvances = new ArrayDeque<>();
    private double mAvailable;
    private double mReturned;
    private double mRecentUse;
    private long mUsedMillis = Long.MIN_VALUE / 2;
    private final List<Shortage> mShortages = new ArrayList<>();
    private double mWaiting;
    private double mLargest;
    private double mSmallest;

    /** Drops advances whose time is over; what is left of them will be returned. */
    void expire(long nowMillis) {
        while (!mAdvances.isEmpty() && mAdvances.peek().mEndMillis <= nowMillis) {
            Advance expired = mAdvances.remove();
            mAvailable -= expired.mLeft;
            mReturned += expired.mIsReturnable ? expired.mLeft : 0;
        }
        if (mAdvances.isEmpty()) {
            mAvailable = 0;
        }
    }

    void addAdvance(double amount, long endMillis) {
        mAdvances.add(new Advance(amount, endMillis));
        mAvailable += amount;
    }

    /** Deducts the cost from the advances that end first; returns whether there was enough. */
    boolean tryTake(double cost, long nowMillis) {
        expire(nowMillis);
        if (mAvailable < cost - NEGLIGIBLE) {
            return false;
        }
        double left = cost;
        while (left > 0 && !mAdvances.isEmpty()) {
            Advance first = mAdvances.peek();
            double part = Math.min(left, first.mLeft);
            first.mLeft -= part;
            left -= part;
            mAvailable -= part;
            if (first.mLeft <= 0) {
                mAdvances.remove();
            }
        }
        recordUse(cost, nowMillis);
        return true;
    }

    void recordUse(double cost, long nowMillis) {
        mRecentUse = recentUse(nowMillis) + cost;
        mUsedMillis = nowMillis;
    }

    /** Use of about the last validity of an advance; earlier use counts exponentially less. */
    private double recentUse(long nowMillis) {
        double lifetimes =
                (double) (nowMillis - mUsedMillis) / AllowanceAccount.ADVANCE_VALIDITY_MILLIS;
        return mRecentUse * Math.exp(-Math.max(0, lifetimes));
    }

    /** Returns nothing that another holder than the present one has granted. */
    void dropReturned() {
        mReturned = 0;
        mAdvances.forEach(advance -> advance.mIsReturnable = false);
    }

    void addReturned(double cost) {
        mReturned += cost;
    }

    /** Returns what is to be returned, and forgets it. */
    double takeReturned() {
        double returned = mReturned;
        mReturned = 0;
        return returned;
    }

    void addWaiting(double cost) {
        mLargest = mWaiting > 0 ? Math.max(mLargest, cost) : cost;
        mSmallest = mWaiting > 0 ? Math.min(mSmallest, cost) : cost;
        mWaiting += cost;
    }

    boolean hasWaiting() {
        return mWaiting > 0;
    }

    /** Forgets which requests wait; those that still do will ask again. */
    void clearWaiting() {
        mWaiting = 0;
    }

    /** Adds what is wanted and returned, if anything. */
    void addEntries(
            String team, double returned, List<GrantRequest.Entry> entries, long nowMillis) {
        double expected = expected(nowMillis);
        if (mWaiting > 0 && mLargest > mSmallest) {
            double others = mWaiting - mLargest + expected;
            entries.add(new GrantRequest.Entry(team, mLargest, mLargest, returned));
            entries.add(new GrantRequest.Entry(team, others, mSmallest, 0));
        } else if (mWaiting > 0) {
            entries.add(new GrantRequest.Entry(team, mWaiting + expected, mSmallest, returned));
        } else if (returned > 0) {
            entries.add(new GrantRequest.Entry(team, 0, 0, returned));
        }
    }

    /**
     * Returns what further requests will probably cost while the advance is valid: as much as the
     * last ones, but the largest, and whole requests, since the rest would lie unused.
     */
    private double expected(long nowMillis) {
        double expected = Math.max(0, recentUse(nowMillis) - mLargest - mAvailable);
        return mWaiting > 0 && mSmallest > 0
                ? Math.floor(expected / mSmallest) * mSmallest
                : expected;
    }

    void recordReply(
            GrantRequest.Entry request, GrantReply.Entry reply, long endMillis, long nowMillis) {
        if (reply.granted() > 0) {
            addAdvance(reply.granted(), endMillis);
        }
        mShortages.removeIf(
                shortage ->
                        shortage.roomMillis() <= nowMillis || shortage.cost() <= request.needed());
        if (reply.millisUntilRoom() > 0) {
            long roomMillis = nowMillis + Math.max(RETRY_MILLIS, reply.millisUntilRoom());
            mShortages.add(new Shortage(request.needed(), roomMillis));
        }
    }

    /** Returns the time until the holder may grant this cost, as far as is known. */
    long millisUntilRoom(double cost, long nowMillis) {
        long millis = 0;
        for (Shortage shortage : mShortages) {
            if (cost >= shortage.cost()) {
                millis = Math.max(millis, shortage.roomMillis() - nowMillis);
            }
        }
        return millis;
    }

    /** Returns the time until it is of use to ask for what waits. */
    long millisUntilAsked(long nowMillis) {
        return millisUntilRoom(mSmallest, nowMillis);
    }

    boolean isIdle(long nowMillis, long idleMillis) {
        return mAdvances.isEmpty()
                && mWaiting == 0
                && mReturned == 0
                && nowMillis - mUsedMillis > idleMillis
                && millisUntilRoom(Double.POSITIVE_INFINITY, nowMillis) == 0;
    }

    /** The holder had no room for this cost and expects to have it at that time. */
    private record Shortage(double cost, long roomMillis) {}

    /** Units that may be used until a time. */
    private static final class Advance {
        private final long mEndMillis;
        private double mLeft;
        private boolean mIsReturnable = true;

        Advance(double amount, long endMillis) {
            mLeft = amount;
            mEndMillis = endMillis;
        }
    }
}
