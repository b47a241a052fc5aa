package org.vanilladoor.provider;

/**
 * Thrown when a call got no complete response.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class NoResponseException extends StoreUnavailableException {
    private static final long serialVersionUID = 1L;
    private final boolean mMayHaveBeenSent;

    /**
     * Creates an exception without a cause.
     *
     * @param mayHaveBeenSent whether any of the call may have reached its receiver
     */
    public NoResponseException(String message, boolean mayHaveBeenSent) {
        super(message);
        mMayHaveBeenSent = mayHaveBeenSent;
    }

    /** Returns whether any of the call may have reached its receiver. */
    public boolean mayHaveBeenSent() {
        return mMayHaveBeenSent;
    }
}
