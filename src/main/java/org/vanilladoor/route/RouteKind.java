package org.vanilladoor.route;

/**
 * What may be repeated on a route, and how its answers come.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RouteKind {
    /** May run any number of times; answered whole. */
    IDEMPOTENT(true, false),
    /** May run at most once for each attempt of a caller; answered whole. */
    AT_MOST_ONCE(false, false),
    /** Answered as a series of events; runs at most once unless the route allows resuming. */
    STREAM(false, true);

    private final boolean mIdempotent;
    private final boolean mStreaming;

    RouteKind(boolean idempotent, boolean streaming) {
        mIdempotent = idempotent;
        mStreaming = streaming;
    }

    /** Returns whether answers are passed on event by event. */
    public boolean isStreaming() {
        return mStreaming;
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @param resumable whether the route lets a stream go on after its last event
     */
    public boolean allowsRetryAfterExecution(boolean resumable) {
        return mIdempotent || (mStreaming && resumable);
    }
}
