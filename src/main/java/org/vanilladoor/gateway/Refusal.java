package org.vanilladoor.gateway;

import org.apache.hc.core5.http.HttpStatus;

/**
 * Why a request is not answered by an endpoint, with what the caller may conclude.
 *
 * <p>Invariant: a refusal that lets the caller come back is given only for a request that has not
 * run and never will. Immutable and safe for use by any thread.
 */
public enum Refusal {
    /** The request is not valid. */
    MALFORMED(HttpStatus.SC_BAD_REQUEST, false),
    /** The body is larger than the operator allows. */
    TOO_LARGE(HttpStatus.SC_REQUEST_TOO_LONG, false),
    /** The key is missing or not known. */
    UNKNOWN_KEY(HttpStatus.SC_UNAUTHORIZED, false),
    /** No route matches. */
    UNKNOWN_ROUTE(HttpStatus.SC_NOT_FOUND, false),
    /** No configuration is known, or not whether it is still the newest. */
    NOT_CONFIRMED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The process is about to end. */
    STOPPING(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** No endpoint serves it now. */
    NO_ENDPOINT(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** It can't be answered in time. */
    OVERLOADED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The endpoint said that it has not run, and no further try is allowed. */
    NOT_RUN(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** An endpoint got it and gave no whole answer. */
    OUTCOME_UNKNOWN(HttpStatus.SC_BAD_GATEWAY, false),
    /** The route's time is over and an endpoint may have run it. */
    TIMED_OUT(HttpStatus.SC_GATEWAY_TIMEOUT, false);

    private final int mStatus;
    private final boolean mMayComeBack;

    Refusal(int status, boolean mayComeBack) {
        mStatus = status;
        mMayComeBack = mayComeBack;
    }

    /** Returns the HTTP status. */
    public int status() {
        return mStatus;
    }

    /** Returns whether it says that the request has not run and when to come back. */
    public boolean isRetryable() {
        return mMayComeBack;
    }
}
