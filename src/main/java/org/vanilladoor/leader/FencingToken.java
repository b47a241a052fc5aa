package org.vanilladoor.leader;

import java.util.Objects;

/**
 * Lease holder and lease term that accompany each action under the fleet lease, so that its
 * receiver can reject an action of a former holder.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param holder name of the lease holder's VM
 * @param term lease term; increases each time the lease is acquired
 */
public record FencingToken(String holder, long term) {
    public FencingToken {
        Objects.requireNonNull(holder, "holder");
    }
}
