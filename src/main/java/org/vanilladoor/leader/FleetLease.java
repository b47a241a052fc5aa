package org.vanilladoor.leader;

/**
 * The right to act for the whole fleet.
 *
 * <p>Belongs to the control thread.
 */
interface FleetLease {
    /** Returns whether acts are allowed now; to be asked right before each. */
    boolean isHeld();

    /** Returns in whose name acts are done. */
    FencingToken authority();
}
