package org.vanilladoor.leader;

import org.vanilladoor.lease.LeaseCore;
import org.vanilladoor.lease.LeaseDriver;

/**
 * The fleet lease in the object store, which this process holds or tries to acquire.
 *
 * <p>Confined to the control thread.
 */
final class StoredFleetLease implements FleetLease {
    private final String mVmName;
    private final LeaseCore mCore;
    private final LeaseDriver mLeaseDriver;

    StoredFleetLease(String vmName, LeaseCore core, LeaseDriver leaseDriver) {
        mVmName = vmName;
        mCore = core;
        mLeaseDriver = leaseDriver;
    }

    /** Sets whether this process is to acquire and hold the lease. */
    void setWanted(boolean wanted) {
        mCore.setWanted(wanted);
    }

    @Override
    public boolean isHeld() {
        return mLeaseDriver.isHeld();
    }

    @Override
    public FencingToken fencingToken() {
        return new FencingToken(mVmName, mCore.term());
    }
}
