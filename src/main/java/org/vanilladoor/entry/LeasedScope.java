package org.vanilladoor.entry;

import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.lease.LeaseCore;
import org.vanilladoor.lease.LeaseDriver;
import org.vanilladoor.lease.LeaseTiming;
import org.vanilladoor.order.OrderCore;
import org.vanilladoor.provider.ObjectStore;

/**
 * A scope of orders with the lease that gives the right to act in it.
 *
 * <p>Belongs to the control thread.
 *
 * @param name name of the scope
 * @param lease its lease
 * @param orders its orders
 */
record LeasedScope(String name, LeaseCore lease, OrderCore orders) {
    static LeasedScope start(ControlLoop control, ObjectStore store, String name, String self) {
        LeaseCore lease = LeaseCore.create(self, LeaseTiming.standard());
        LeaseDriver.start(control, store, "lease/" + name, lease);
        return new LeasedScope(name, lease, OrderCore.create(name, self, lease));
    }
}
