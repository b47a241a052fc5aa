package org.vanilladoor.leader;

import java.util.Objects;

/**
 * In whose name an act under the fleet's lease is done.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param holder name of the VM
 * @param term term of the lease; grows with each taking
 */
public record FencingToken(String holder, long term) {
    public FencingToken {
        Objects.requireNonNull(holder, "holder");
    }
}
