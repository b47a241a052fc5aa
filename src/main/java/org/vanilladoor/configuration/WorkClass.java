package org.vanilladoor.configuration;

import java.util.Objects;

/**
 * A class of work with its targets.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name that operators and callers use
 * @param kind kind of work
 * @param firstTokenMillis target time to the first token, or to the head of a response without
 *     tokens
 * @param betweenTokensMillis target mean time between tokens; 0 for no target
 * @param deadlineMillis maximum time to the end of the response
 * @param reclaimable whether the work may run on endpoints that may be reclaimed
 * @param objective fraction of requests that must meet the targets, from 0 to 1
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
