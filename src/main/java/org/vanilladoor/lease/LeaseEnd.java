package org.vanilladoor.lease;

/**
 * How a process ceased to hold a lease, for the log.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum LeaseEnd {
    /** No renewal took effect in time. */
    EXPIRED,
    /** The process released the lease. */
    RELEASED,
    /** The stored object names another holder. */
    TAKEN_OVER,
    /** The process may have been suspended, or an order was refused for its term. */
    INVALIDATED
}
