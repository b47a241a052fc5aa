package org.vanilladoor.lease;

/**
 * The right to make one call under a lease.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier distinguishes the calls of a process
 * @param term term of the lease under which the call is made
 * @param endMillis monotonic time at which the call is ended if it has not been answered
 */
public record CallGrant(long identifier, long term, long endMillis) {}
