package org.vanilladoor.leader;

/**
 * The lease that permits one process to act for the whole fleet.
 *
 * <p>Confined to the control thread.
 */
interface FleetLease {
    /** Returns whether this process holds the lease now; check immediately before each action. */
    boolean isHeld();

    /** Returns the token to send with each action under the lease. */
    FencingToken fencingToken();
}
