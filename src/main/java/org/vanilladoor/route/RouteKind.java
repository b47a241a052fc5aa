package org.vanilladoor.route;

/**
 * Whether requests of a route may run more than once, and the form of their responses.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RouteKind {
    /** May run any number of times; the response is a single message. */
    IDEMPOTENT(true, false),
    /** May run at most once per attempt of a caller; the response is a single message. */
    AT_MOST_ONCE(false, false),
    /** Runs at most once unless the route is resumable; the response is a stream of events. */
    STREAM(false, true);

    private final boolean mIdempotent;
    private final boolean mStreaming;

    RouteKind(boolean idempotent, boolean streaming) {
        mIdempotent = idempotent;
        mStreaming = streaming;
    }

    /** Returns whether responses are streams of events. */
    public boolean isStreaming() {
        return mStreaming;
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @param resumable whether the route allows resuming a stream after its last received event
     */
    public boolean allowsRetryAfterExecution(boolean resumable) {
        return mIdempotent || (mStreaming && resumable);
    }
}
