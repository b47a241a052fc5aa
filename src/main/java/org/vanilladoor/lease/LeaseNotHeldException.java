package org.vanilladoor.lease;

/**
 * Thrown when a call was not made since the lease does not permit it now.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class LeaseNotHeldException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public LeaseNotHeldException(String message) {
        super(message);
    }
}
