package org.vanilladoor.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The requests that this VM sent to one endpoint within the last window, and the endpoint's limit.
 *
 * <p>Invariant: a limit is raised only once a lower one is a window old, so that one that changes
 * from response to response counts with its lowest values. Time is passed in as an argument.
 * Confined to the control thread.
 */
final class EndpointLimit {
    private final long mStartMillis;
    private final Deque<Long> mSentMillis = new ArrayDeque<>();
    private OptionalDouble mRequestsPerSecond = OptionalDouble.empty();
    private OptionalLong mEndedMillis = OptionalLong.empty();
    private long mLoweredMillis;
    private long mContactMillis;

    EndpointLimit(long startMillis) {
        mStartMillis = startMillis;
    }

    /** Returns the start of the endpoint to which this belongs, as in {@link Endpoint}. */
    long startMillis() {
        return mStartMillis;
    }

    void recordSent(long nowMillis) {
        removeOld(nowMillis);
        mSentMillis.add(nowMillis);
        mContactMillis = nowMillis;
    }

    /** Returns whether the endpoint became limited or ceased to be. */
    boolean recordStatement(StatedLimit stated, long nowMillis) {
        boolean wasLimited = isLimited();
        mContactMillis = nowMillis;
        boolean isEnd = wasLimited && stated.kind() == StatedLimit.Kind.NONE;
        if (isEnd) {
            mEndedMillis = OptionalLong.of(nowMillis);
        } else if (stated.kind() == StatedLimit.Kind.LIMITED) {
            mEndedMillis = OptionalLong.empty();
        }
        switch (stated.kind()) {
            case NONE -> mRequestsPerSecond = OptionalDouble.empty();
            case LIMITED -> setLimit(stated.requestsPerSecond(), nowMillis);
            case UNREADABLE -> {
                // What the endpoint named before still holds.
            }
        }
        return wasLimited != isLimited();
    }

    private void setLimit(double requestsPerSecond, long nowMillis) {
        boolean isHeld =
                isLimited()
                        && requestsPerSecond > mRequestsPerSecond.getAsDouble()
                        && nowMillis - mLoweredMillis < RequestLimits.WINDOW_MILLIS;
        if (!isHeld) {
            mRequestsPerSecond = OptionalDouble.of(requestsPerSecond);
            mLoweredMillis = nowMillis;
        }
    }

    /** Ends the limit because another VM has seen its end. */
    void endLimit() {
        mRequestsPerSecond = OptionalDouble.empty();
        mEndedMillis = OptionalLong.empty();
    }

    /** Returns when this VM saw the end of the limit, unless that is known to all. */
    OptionalLong endedMillis() {
        return mEndedMillis;
    }

    boolean isLimited() {
        return mRequestsPerSecond.isPresent();
    }

    double requestsPerSecond() {
        return mRequestsPerSecond.orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the time of the last request or response. */
    long contactMillis() {
        return mContactMillis;
    }

    int sentInWindow(long nowMillis) {
        removeOld(nowMillis);
        return mSentMillis.size();
    }

    /** Returns when the oldest request of the window leaves it. */
    long oldestLeavesMillis(long nowMillis) {
        removeOld(nowMillis);
        return mSentMillis.isEmpty()
                ? nowMillis
                : mSentMillis.peekFirst() + RequestLimits.WINDOW_MILLIS;
    }

    private void removeOld(long nowMillis) {
        while (!mSentMillis.isEmpty()
                && mSentMillis.peekFirst() <= nowMillis - RequestLimits.WINDOW_MILLIS) {
            mSentMillis.pollFirst();
        }
    }
}
