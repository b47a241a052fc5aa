package org.vanilladoor.gateway;

import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.route.Route;

/**
 * How far a request has come at its endpoints and at its caller.
 *
 * <p>Invariant: what may have run is never taken back. Confined to the control thread.
 */
final class RequestProgress {
    /** Time that a response takes in addition to the work of its endpoint. */
    private static final long RESPONSE_OVERHEAD_MILLIS = 30;

    private final long mArrivedMillis = MonotonicClock.nowMillis();
    private final EventAssembler mEvents;
    private final long mDeadlineMillis;
    private int mPossibleRuns;
    private boolean mMayHaveRun;
    private boolean mMayHavePrefilled;

    private RequestProgress(EventAssembler events, long timeoutMillis) {
        mEvents = events;
        mDeadlineMillis = mArrivedMillis + timeoutMillis;
    }

    /** Returns the progress of a request that arrives now. */
    static RequestProgress start(CallerRequest request, Route route) {
        return new RequestProgress(
                EventAssembler.after(
                        request.lastEventIdentifier().filter(last -> route.resumable())),
                Math.min(route.timeoutMillis(), request.callerTimeoutMillis()));
    }

    long arrivedMillis() {
        return mArrivedMillis;
    }

    /** Returns the time by which the first byte of the response is due. */
    long dueMillis(Route route) {
        return mArrivedMillis + route.objectiveMillis();
    }

    /** Returns the time at which the request has to have its response. */
    long deadlineMillis() {
        return mDeadlineMillis;
    }

    /** Returns the time after which an engine could not do its work before the deadline. */
    long latestDispatchMillis(Route route) {
        // Half the objective is left for the work that follows the wait.
        return mDeadlineMillis - RESPONSE_OVERHEAD_MILLIS - route.objectiveMillis() / 2;
    }

    /** Returns the time by which it has to be known where the request may run. */
    long latestLookupMillis(Route route) {
        // A caller with little time left gets half of it, since a lookup takes some milliseconds.
        return Math.max(latestDispatchMillis(route), (mArrivedMillis + mDeadlineMillis) / 2);
    }

    /** Returns whether a response that begins now can reach the caller before the deadline. */
    boolean hasTimeForAResponse() {
        return MonotonicClock.nowMillis() + RESPONSE_OVERHEAD_MILLIS < mDeadlineMillis;
    }

    /** Returns what sets the deadline of a request, as logged when it has passed. */
    static String timeoutReason(CallerRequest request, Route route) {
        return route.timeoutMillis() <= request.callerTimeoutMillis()
                ? "the route's time is over"
                : "the caller's patience is over";
    }

    /** Returns the buffer for the events of the response stream. */
    EventAssembler events() {
        return mEvents;
    }

    /** Returns whether an endpoint may have run the request. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void markPossiblyRun() {
        mMayHaveRun = true;
    }

    /** Records that an endpoint may have done the work of a call. */
    void markPossiblyDone(EndpointCall.Stage stage) {
        if (stage == EndpointCall.Stage.RUN) {
            markPossiblyRun();
        } else {
            markPossiblyPrefilled();
        }
    }

    /** Records that an engine may have prefilled the prompt. */
    void markPossiblyPrefilled() {
        mMayHavePrefilled = true;
    }

    /** Returns whether an endpoint may have done any work for the request. */
    boolean mayHaveWorked() {
        return mMayHaveRun || mMayHavePrefilled;
    }

    /** Returns the number of runs that count against the route's limit of attempts. */
    int possibleRuns() {
        return mPossibleRuns;
    }

    void countPossibleRun() {
        mPossibleRuns++;
    }
}
