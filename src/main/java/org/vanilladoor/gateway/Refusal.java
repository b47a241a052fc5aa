package org.vanilladoor.gateway;

import org.apache.hc.core5.http.HttpStatus;

/**
 * The reason for which the gateway itself answers a request with an error.
 *
 * <p>Invariant: a retryable refusal is given only for a request that has not run and will not run
 * later. Immutable and safe for use by any thread.
 */
public enum Refusal {
    /** The request is not valid. */
    MALFORMED(HttpStatus.SC_BAD_REQUEST, false),
    /** The body is larger than the configured limit. */
    TOO_LARGE(HttpStatus.SC_REQUEST_TOO_LONG, false),
    /** The API key is missing or unknown. */
    UNKNOWN_KEY(HttpStatus.SC_UNAUTHORIZED, false),
    /** No route matches. */
    UNKNOWN_ROUTE(HttpStatus.SC_NOT_FOUND, false),
    /** The request exceeds what its team may use at present. */
    OVER_ALLOWANCE(HttpStatus.SC_TOO_MANY_REQUESTS, true),
    /** No configuration was received, or it was not confirmed recently enough as the newest. */
    NOT_CONFIRMED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The process is stopping. */
    STOPPING(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** No endpoint is available for the service. */
    NO_ENDPOINT(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** All endpoints of the service have got as many requests as they take at present. */
    LIMITED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The request can not be served before its deadline. */
    OVERLOADED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The process has no memory for the request. */
    NO_MEMORY(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** A part of the prompt crashes engines, so that the request is not sent to any. */
    QUARANTINED(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** A part of the prompt may crash engines, and it takes longer to find out than to refuse. */
    IN_DOUBT(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** The version that began the stream to take up is not known. */
    ORIGIN_UNKNOWN(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** No endpoint ran the request, and no further call is allowed. */
    NOT_RUN(HttpStatus.SC_SERVICE_UNAVAILABLE, true),
    /** An endpoint received the request and returned no complete, valid response. */
    OUTCOME_UNKNOWN(HttpStatus.SC_BAD_GATEWAY, false),
    /** The deadline has passed, and an endpoint may have run the request. */
    TIMED_OUT(HttpStatus.SC_GATEWAY_TIMEOUT, false);

    private final int mStatus;
    private final boolean mRetryable;

    Refusal(int status, boolean isRetryable) {
        mStatus = status;
        mRetryable = isRetryable;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return mStatus;
    }

    /** Returns whether the request has not run, so that the caller may retry it later. */
    public boolean isRetryable() {
        return mRetryable;
    }
}
