package org.vanilladoor.dispatch;

import java.util.List;
import java.util.Objects;
import org.vanilladoor.configuration.WorkClass;

/**
 * A request as the decisions see it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier
 * @param team name of the team, or an empty string on an open route
 * @param workClass class of work with its target
 * @param pool name of the model or service
 * @param promptTokens estimated length of the prompt
 * @param outputTokens expected length of the answer
 * @param blocks digests of the prompt's blocks
 * @param isRetry whether the caller sends an earlier request again
 * @param arrivalMillis monotonic time of its arrival
 */
public record Call(
        String identifier,
        String team,
        WorkClass workClass,
        String pool,
        int promptTokens,
        int outputTokens,
        List<Long> blocks,
        boolean isRetry,
        long arrivalMillis) {
    public Call {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(pool, "pool");
        blocks = List.copyOf(blocks);
    }

    /** Returns the time by which the first token meets the target. */
    public long firstTokenDeadlineMillis() {
        return arrivalMillis + workClass.firstTokenMillis();
    }

    /** Returns the time by which the answer has to end. */
    public long deadlineMillis() {
        return arrivalMillis + workClass.deadlineMillis();
    }

    /** Returns the tokens that count against the team's share. */
    public long tokens() {
        return Math.max(1, (long) promptTokens + outputTokens);
    }
}
