package org.vanilladoor.provider;

/**
 * Thrown when the receiver of a call has responded that the call failed.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class CallRejectedException extends StoreUnavailableException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public CallRejectedException(String message) {
        super(message);
    }
}
