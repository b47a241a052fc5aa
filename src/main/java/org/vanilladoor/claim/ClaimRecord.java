package org.vanilladoor.claim;

import java.util.Objects;

/**
 * One record of the claim log.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind whether the record claims or closes
 * @param key digest of team and idempotency key
 * @param attempt identifier of the attempt that wrote it
 * @param request digest of the request
 * @param epochMillis wall time of the writer, used only to expire old records
 */
record ClaimRecord(Kind kind, String key, String attempt, String request, long epochMillis) {
    ClaimRecord {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(request, "request");
    }

    /** Kinds of records. */
    enum Kind {
        /**
         * The attempt may run; it can still be closed as long as nothing was sent to an endpoint.
         */
        CLAIM,
        /** The attempt has not run and never will. */
        CLOSE
    }
}
