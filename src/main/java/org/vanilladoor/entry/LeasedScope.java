package org.vanilladoor.entry;

import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.lease.LeaseCore;
import org.vanilladoor.lease.LeaseDriver;
import org.vanilladoor.lease.LeaseTiming;
import org.vanilladoor.order.OrderCore;
import org.vanilladoor.provider.ObjectStore;

/**
 * A scope of orders with the lease that permits a process to write and send them.
 *
 * <p>Confined to the control thread.
 *
 * @param name name of the scope
 * @param lease lease of the scope
 * @param orders orders of the scope
 */
record LeasedScope(String name, LeaseCore lease, OrderCore orders) {
    /** Returns a scope and starts to keep its lease up to date with the object store. */
    static LeasedScope start(
            ControlLoop control, ObjectStore store, String name, String writerName) {
        LeaseCore lease = LeaseCore.create(writerName, LeaseTiming.standard());
        LeaseDriver.start(control, store, "lease/" + name, lease);
        return new LeasedScope(name, lease, OrderCore.create(name, writerName, lease));
    }
}
