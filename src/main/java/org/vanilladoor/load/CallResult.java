package org.vanilladoor.load;

import java.util.Objects;

/**
 * How one call went, seen from the caller.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param outcome what came of it
 * @param firstTokenMillis time from the planned start to the first token or the answer
 * @param meanBetweenTokensMillis mean time between tokens, 0 without a stream
 * @param detail what was wrong, or an empty string
 */
public record CallResult(
        Outcome outcome, double firstTokenMillis, double meanBetweenTokensMillis, String detail) {
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(detail, "detail");
    }

    static CallResult without(Outcome outcome, String detail) {
        return new CallResult(outcome, 0, 0, detail);
    }

    /** What came of a call. */
    public enum Outcome {
        /** A whole answer to this very request. */
        ANSWERED,
        /** A refusal that says it was not run. */
        NOT_RUN,
        /** A refusal or an end that leaves open whether it was run. */
        UNKNOWN,
        /** An answer that is not whole or belongs to another request. */
        WRONG
    }
}
