package org.vanilladoor.exchange;

import java.util.Objects;
import org.vanilladoor.allowance.GrantRequest;

/**
 * What a VM sends to the holder of the fleet lease.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param secret the secret of the fleet, which the store keeps
 * @param request the sender's identity, and what it asks for and gives back for each team
 */
record Heartbeat(String secret, GrantRequest request) {
    Heartbeat {
        Objects.requireNonNull(secret, "secret");
        Objects.requireNonNull(request, "request");
    }

    /** Leaves out the secret. */
    @Override
    public String toString() {
        return "Heartbeat[" + request + "]";
    }
}
