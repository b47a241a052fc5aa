package org.vanilladoor.duty;

import org.vanilladoor.authority.LeaseCore;
import org.vanilladoor.authority.LeaseKeeper;

/**
 * This process's claim to the fleet's lease.
 *
 * <p>Belongs to the control thread.
 */
final class LeaseHold {
    private final String mMachine;
    private final LeaseCore mCore;
    private final LeaseKeeper mKeeper;

    LeaseHold(String machine, LeaseCore core, LeaseKeeper keeper) {
        mMachine = machine;
        mCore = core;
        mKeeper = keeper;
    }

    void want(boolean wanted) {
        mCore.want(wanted);
    }

    /** Returns whether acts are allowed now; to be asked right before each. */
    boolean isHeld() {
        return mKeeper.isHeld();
    }

    /** Returns in whose name acts are done. */
    Authority authority() {
        return new Authority(mMachine, mCore.term());
    }
}
