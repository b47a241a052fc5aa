package org.vanilladoor.configuration;

import java.util.Objects;

/**
 * A class of work with its target.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name that operators and callers use
 * @param kind kind of work
 * @param firstTokenMillis target for the first token or the answer's head
 * @param betweenTokensMillis target between tokens, 0 where there are none
 * @param deadlineMillis longest time until the end of the answer
 * @param reclaimable whether the work may run on endpoints that may be reclaimed
 * @param objective share of requests that has to meet the target, from 0 to 1
 */
public record WorkClass(
        String name,
        WorkKind kind,
        int firstTokenMillis,
        int betweenTokensMillis,
        int deadlineMillis,
        boolean reclaimable,
        double objective) {
    public WorkClass {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
    }
}
