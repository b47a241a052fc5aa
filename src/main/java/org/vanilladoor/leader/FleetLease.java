package org.vanilladoor.leader;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The lease that permits one process to act for the whole fleet.
 *
 * <p>Invariant: all calls that change anything for the fleet are made through {@link #call}.
 * Confined to the control thread.
 */
interface FleetLease {
    /** Returns whether this process holds the lease now. */
    boolean isHeld();

    /** Returns whether a call may begin now. */
    boolean mayCall();

    /** Returns the term under which this process holds the lease, or has last known it. */
    long term();

    /**
     * Makes a call under the lease, or fails with {@link
     * org.vanilladoor.lease.LeaseNotHeldException} if none may begin now.
     *
     * @param name description of the call, for the log
     * @param call sends the call; its future completes on the control thread
     */
    <T> CompletableFuture<T> call(String name, Function<FleetPermit, CompletableFuture<T>> call);
}
