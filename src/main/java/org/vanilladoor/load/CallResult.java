package org.vanilladoor.load;

import java.util.Objects;

/**
 * The result of one call, as its caller sees it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param outcome how the call ended
 * @param firstTokenMillis milliseconds from the planned start to the first token or, without a
 *     stream, to the whole response; 0 unless there was a successful response
 * @param meanBetweenTokensMillis mean milliseconds between tokens, 0 without a stream
 * @param detail reason why there was no successful response, or an empty string
 */
public record CallResult(
        Outcome outcome, double firstTokenMillis, double meanBetweenTokensMillis, String detail) {
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(detail, "detail");
    }

    static CallResult withoutTimes(Outcome outcome, String detail) {
        return new CallResult(outcome, 0, 0, detail);
    }

    /** How a call ended. */
    public enum Outcome {
        /** A complete response to this request. */
        ANSWERED,
        /**
         * A refusal that states that the call was not run, or a connection that could not be
         * opened.
         */
        NOT_RUN,
        /** A refusal or failure after which it is unknown whether the call was run. */
        UNKNOWN,
        /** A response that is incomplete or belongs to another request. */
        WRONG
    }
}
