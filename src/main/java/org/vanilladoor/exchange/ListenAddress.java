package org.vanilladoor.exchange;

import java.util.Objects;
import org.vanilladoor.common.PortRange;

/**
 * Where a process may listen for the other VMs.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param host the VM's own address
 * @param ports the ports of which the process takes the first free one
 */
public record ListenAddress(String host, PortRange ports) {
    public ListenAddress {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(ports, "ports");
    }
}
