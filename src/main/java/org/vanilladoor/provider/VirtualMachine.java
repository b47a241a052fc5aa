package org.vanilladoor.provider;

import java.util.Objects;

/**
 * An entry VM as the platform's lagging list shows it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM
 * @param instance names this life of the VM; another one after a replacement
 * @param failureDomain failure domain of the VM
 * @param state whether it is live, leaving or gone
 */
public record VirtualMachine(String name, String instance, String failureDomain, State state) {
    public VirtualMachine {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
    }

    /** The states that the platform tells of. */
    public enum State {
        LIVE,
        LEAVING,
        GONE
    }
}
