package org.vanilladoor.lease;

import java.util.Objects;
import org.vanilladoor.common.SendPermit;

/**
 * What a call under a lease carries with it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param term term of the lease
 * @param sendPermit time in which the call may be sent and under way
 */
public record LeasePermit(long term, SendPermit sendPermit) {
    public LeasePermit {
        Objects.requireNonNull(sendPermit, "sendPermit");
    }
}
