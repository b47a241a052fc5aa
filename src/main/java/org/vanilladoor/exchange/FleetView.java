package org.vanilladoor.exchange;

import java.util.Optional;
import org.vanilladoor.common.HostPort;

/**
 * What this process knows of the fleet, and the place where the lease holder's address is kept.
 *
 * <p>Confined to the control thread.
 */
public interface FleetView {
    /** Returns whether this process holds the fleet lease at this moment. */
    boolean isHolder();

    /** Returns the term of the fleet lease as last known. */
    long term();

    /** Returns the number of live processes, or 0 while they have not been counted. */
    int countedProcesses();

    /** Sets the address that the roster states while this process holds the fleet lease. */
    void publishExchange(Optional<HostPort> address);

    /** Returns the address at which the lease holder listens, as last read from the roster. */
    Optional<HostPort> holderExchange();

    /** Starts to read the address at which the lease holder listens. */
    void readHolderExchange();
}
