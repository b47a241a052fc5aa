package org.vanilladoor.leader;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
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
    public boolean mayCall() {
        return mLeaseDriver.mayCall();
    }

    @Override
    public long term() {
        return mCore.term();
    }

    @Override
    public <T> CompletableFuture<T> call(
            String name, Function<FleetPermit, CompletableFuture<T>> call) {
        return mLeaseDriver.call(
                name,
                permit ->
                        call.apply(
                                new FleetPermit(
                                        new FencingToken(mVmName, permit.term()),
                                        permit.sendPermit())));
    }
}
