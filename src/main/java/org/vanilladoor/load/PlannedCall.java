package org.vanilladoor.load;

import java.util.Objects;

/**
 * A call that the load driver sends.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team
 * @param key the team's key
 * @param workClass name of the class of work
 * @param pool name of the model or service
 * @param text prompt of a call to a model, body of a call to a plain service
 * @param outputTokens number of tokens to generate, 0 for a plain service
 * @param idempotencyKey idempotency key of a call that may run at most once, empty for any other
 *     call
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

    /** Returns whether the call goes to a model engine and not to a plain service. */
    public boolean isModelWork() {
        return outputTokens > 0;
    }
}
