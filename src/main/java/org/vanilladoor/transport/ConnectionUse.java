package org.vanilladoor.transport;

/**
 * Which connections may carry a call.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum ConnectionUse {
    /** An idle connection is reused if there is one. */
    ANY(true),
    /**
     * The connection has carried no call before, so that no response to an earlier call can be
     * taken for the response to this one.
     */
    NEW(false);

    private final boolean mReuseAllowed;

    ConnectionUse(boolean reuseAllowed) {
        mReuseAllowed = reuseAllowed;
    }

    /** Returns whether an idle connection may be reused. */
    boolean isReuseAllowed() {
        return mReuseAllowed;
    }
}
