package org.vanilladoor.provider;

/**
 * Thrown when a call to the platform got no usable response. A write may have taken effect, or may
 * still do so later.
 *
 * <p>Immutable and safe for use by any thread.
 */
public class StoreUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
