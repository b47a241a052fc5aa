package org.vanilladoor.provider;

import java.util.Objects;

/**
 * An entry VM as the platform lists it; the list may be out of date.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM
 * @param instance identifier of this instance of the VM; changes when the VM is replaced
 * @param failureDomain failure domain of the VM
 * @param state state of the VM in the list
 */
public record VirtualMachine(String name, String instance, String failureDomain, State state) {
    public VirtualMachine {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
    }

    /** States that the platform reports. */
    public enum State {
        LIVE,
        LEAVING,
        GONE
    }
}
