package org.vanilladoor.claim;

import java.util.Objects;

/**
 * One record of a claim log.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind what the record says
 * @param key digest of team and idempotency key
 * @param attempt identifier of the attempt that wrote it
 * @param request digest of the request
 * @param epochMillis wall time of the writer, for the end of retention only
 */
record ClaimRecord(Kind kind, String key, String attempt, String request, long epochMillis) {
    ClaimRecord {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(request, "request");
    }

    /** What a record says. */
    enum Kind {
        /** The attempt runs, unless it closes again before anything was handed over. */
        CLAIM,
        /** The attempt has not run and never will. */
        CLOSE
    }
}
