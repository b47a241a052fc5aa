package org.vanilladoor.gateway;

import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.route.Route;

/**
 * How far a request has come at its endpoints and at its caller.
 *
 * <p>Invariant: what may have run is never taken back. Confined to the control thread.
 */
final class RequestProgress {
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
