package org.vanilladoor.claim;

import java.util.Objects;

/**
 * One attempt to run a call that must run at most once.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier of the attempt
 * @param key digest of team and idempotency key
 * @param request digest of the request
 * @param knownPosition end of the shard's log, as known to this process when it received the
 *     attempt
 * @param deadlineMillis monotonic time after which the attempt is abandoned
 */
public record Attempt(
        String identifier, String key, String request, long knownPosition, long deadlineMillis) {
    public Attempt {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }
}
