package org.vanilladoor.duty;

import org.vanilladoor.lease.LeaseCore;
import org.vanilladoor.lease.LeaseDriver;

/**
 * The fleet's lease as this process keeps or waits for it.
 *
 * <p>Belongs to the control thread.
 */
final class KeptLease implements FleetLease {
    private final String mMachine;
    private final LeaseCore mCore;
    private final LeaseDriver mKeeper;

    KeptLease(String machine, LeaseCore core, LeaseDriver keeper) {
        mMachine = machine;
        mCore = core;
        mKeeper = keeper;
    }

    void want(boolean wanted) {
        mCore.setWanted(wanted);
    }

    @Override
    public boolean isHeld() {
        return mKeeper.isHeld();
    }

    @Override
    public Authority authority() {
        return new Authority(mMachine, mCore.term());
    }
}
