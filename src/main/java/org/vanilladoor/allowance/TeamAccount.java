package org.vanilladoor.allowance;

import java.util.ArrayDeque;
import java.util.Deque;

/** One team on one VM: its advances, what it waits for and what it returns. */
final class TeamAccount {
    /** Below this share of a unit a sum is taken for 0. */
    private static final double NEGLIGIBLE = 1e-6;

    private final Deque<Advance> mAdvances = new ArrayDeque<>();
    private double mAvailable;
    private double mReturned;
    private double mRecentUse;
    private long mUsedMillis = Long.MIN_VALUE / 2;
    private double mWaiting;
    private double mNeeded;
    private double mRequested;
    private double mRefusedCost = Double.POSITIVE_INFINITY;
    private long mRoomMillis = Long.MIN_VALUE / 2;

    /** Drops advances whose time is over; what is left of them will be returned. */
    void expire(long nowMillis) {
        while (!mAdvances.isEmpty() && mAdvances.peek().mEndMillis <= nowMillis) {
            Advance expired = mAdvances.remove();
            mAvailable -= expired.mLeft;
            mReturned += expired.mLeft;
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
        if (mWaiting == 0) {
            mNeeded = cost;
        }
        mWaiting += cost;
    }

    boolean hasWaiting() {
        return mWaiting > 0;
    }

    /** Forgets which requests wait; those that still do will ask again. */
    void clearWaiting() {
        mWaiting = 0;
        mNeeded = 0;
    }

    /** Returns what is wanted and returned, if anything. */
    GrantRequest.Entry toEntry(String team, double returned, long nowMillis) {
        double expected = Math.max(0, recentUse(nowMillis) - mAvailable);
        double wanted = mWaiting > 0 ? mWaiting + expected : 0;
        mRequested = mNeeded;
        return new GrantRequest.Entry(team, wanted, mNeeded, returned);
    }

    void recordReply(GrantReply.Entry entry, long endMillis, long nowMillis) {
        if (entry.granted() > 0) {
            addAdvance(entry.granted(), endMillis);
        }
        if (entry.millisUntilRoom() > 0) {
            mRefusedCost = mRequested;
            mRoomMillis = nowMillis + entry.millisUntilRoom();
        } else if (mRequested > 0) {
            mRefusedCost = Double.POSITIVE_INFINITY;
        }
    }

    /** Returns the time until the holder may grant this cost, as far as is known. */
    long millisUntilRoom(double cost, long nowMillis) {
        return cost >= mRefusedCost ? Math.max(0, mRoomMillis - nowMillis) : 0;
    }

    /** Returns the time until it is of use to ask for what waits. */
    long millisUntilAsked(long nowMillis) {
        return millisUntilRoom(mNeeded, nowMillis);
    }

    boolean isIdle(long nowMillis, long idleMillis) {
        return mAdvances.isEmpty()
                && mWaiting == 0
                && mReturned == 0
                && nowMillis - mUsedMillis > idleMillis
                && mRoomMillis < nowMillis;
    }

    /** Units that may be used until a time. */
    private static final class Advance {
        private final long mEndMillis;
        private double mLeft;

        Advance(double amount, long endMillis) {
            mLeft = amount;
            mEndMillis = endMillis;
        }
    }
}
