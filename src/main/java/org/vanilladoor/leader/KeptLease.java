package org.vanilladoor.leader;

import org.vanilladoor.authority.LeaseCore;
import org.vanilladoor.authority.LeaseKeeper;

/**
 * The fleet's lease as this process keeps or waits for it.
 *
 * <p>Belongs to the control thread.
 */
final class KeptLease implements FleetLease {
    private final String mMachine;
    private final LeaseCore mCore;
    private final LeaseKeeper mKeeper;

    KeptLease(String machine, LeaseCore core, LeaseKeeper keeper) {
        mMachine = machine;
        mCore = core;
        mKeeper = keeper;
    }

    void want(boolean wanted) {
        mCore.want(wanted);
    }

    @Override
    public boolean isHeld() {
        return mKeeper.isHeld();
    }

    @Override
    public FencingToken authority() {
        return new FencingToken(mMachine, mCore.term());
    }
}
