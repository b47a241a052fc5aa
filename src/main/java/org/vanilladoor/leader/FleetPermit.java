package org.vanilladoor.leader;

import java.util.Objects;
import org.vanilladoor.common.SendPermit;

/**
 * What a call for the whole fleet carries with it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param token identifies the holder of the lease and its term to the receiver
 * @param sendPermit time in which the call may be sent and under way
 */
public record FleetPermit(FencingToken token, SendPermit sendPermit) {
    public FleetPermit {
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(sendPermit, "sendPermit");
    }
}
