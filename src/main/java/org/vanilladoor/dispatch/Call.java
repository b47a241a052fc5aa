package org.vanilladoor.dispatch;

import java.util.List;
import java.util.Objects;
import org.vanilladoor.configuration.WorkClass;

/**
 * A request with the properties that dispatch decisions depend on.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier
 * @param team name of the team, or an empty string if the route needs no key
 * @param workClass class of work, with its latency target
 * @param pool name of the model or service
 * @param promptTokens estimated length of the prompt in tokens
 * @param outputTokens expected length of the response in tokens
 * @param blocks digests of the prompt's blocks, in the order of the prompt
 * @param isRetry whether the caller retries an earlier request
 * @param arrivalMillis monotonic time of arrival
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

    /** Returns the monotonic time by which the first token is due. */
    public long firstTokenDeadlineMillis() {
        return arrivalMillis + workClass.firstTokenMillis();
    }

    /** Returns the monotonic time by which the response has to be complete. */
    public long deadlineMillis() {
        return arrivalMillis + workClass.deadlineMillis();
    }

    /** Returns the estimated tokens charged to the team's share, at least 1. */
    public long chargedTokens() {
        return Math.max(1, (long) promptTokens + outputTokens);
    }
}
