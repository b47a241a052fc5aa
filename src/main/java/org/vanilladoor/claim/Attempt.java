package org.vanilladoor.claim;

import java.util.Objects;

/**
 * One attempt at a call that may run at most once.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier of the attempt
 * @param key digest of team and idempotency key
 * @param request digest of the request
 * @param knownPosition end of the shard's log as this process knew it when the attempt came in
 * @param deadlineMillis monotonic time after which the attempt is given up
 */
public record Attempt(
        String identifier, String key, String request, long knownPosition, long deadlineMillis) {
    public Attempt {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }
}
