package org.vanilladoor.caller;

import org.vanilladoor.configuration.Configuration;

/**
 * The state of the entry process that the handling of calls depends on.
 *
 * <p>Implementations do not block and are safe for use by any thread.
 */
public interface EntryState {
    /** Returns the active configuration. */
    Configuration configuration();

    /** Returns whether the process accepts requests. */
    Availability availability();

    /** Returns whether the process currently receives key withdrawals from the store. */
    boolean receivesKeyWithdrawals();

    /** Whether a process accepts requests. */
    enum Availability {
        STARTING,
        SERVING,
        /** Requests are still served, but each connection is closed after its response. */
        DRAINING
    }
}
