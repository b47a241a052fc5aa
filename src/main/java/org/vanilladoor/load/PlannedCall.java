package org.vanilladoor.load;

import java.util.Objects;

/**
 * A call that a load sends.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team
 * @param key the team's key
 * @param workClass name of the class of work
 * @param pool name of the model or service
 * @param text prompt or body
 * @param outputTokens tokens to generate, 0 for a plain service
 * @param idempotencyKey key of a call that may run at most once, or an empty string
 */
public record PlannedCall(
        String team,
        String key,
        String workClass,
        String pool,
        String text,
        int outputTokens,
        String idempotencyKey) {
    public PlannedCall {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    }

    /** Returns whether a model engine does the call. */
    public boolean isModelWork() {
        return outputTokens > 0;
    }
}
