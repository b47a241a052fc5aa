package org.vanilladoor.caller;

import org.vanilladoor.configuration.Configuration;

/**
 * What the handling of calls has to know of its process.
 *
 * <p>Implementations answer at once and are safe for use by any thread.
 */
public interface EntryState {
    /** Returns the configuration in force. */
    Configuration configuration();

    /** Returns whether the process takes requests. */
    Availability availability();

    /** Returns whether the process hears of withdrawn keys. */
    boolean receivesKeyWithdrawals();

    /** Whether a process takes requests. */
    enum Availability {
        STARTING,
        SERVING,
        /** Requests are still served, but their connections end with them. */
        DRAINING
    }
}
