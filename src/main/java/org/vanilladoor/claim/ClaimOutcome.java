package org.vanilladoor.claim;

/**
 * The result of claiming or closing an attempt.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind kind of result
 * @param holder identifier of the attempt that holds the claim, or an empty string
 */
public record ClaimOutcome(Kind kind, String holder) {
    static ClaimOutcome granted(String attempt) {
        return new ClaimOutcome(Kind.GRANTED, attempt);
    }

    static ClaimOutcome closed() {
        return new ClaimOutcome(Kind.CLOSED, "");
    }

    static ClaimOutcome taken(String holder) {
        return new ClaimOutcome(Kind.TAKEN, holder);
    }

    static ClaimOutcome mismatch() {
        return new ClaimOutcome(Kind.MISMATCH, "");
    }

    static ClaimOutcome unknown() {
        return new ClaimOutcome(Kind.UNKNOWN, "");
    }

    /** Kinds of results. */
    public enum Kind {
        /** The attempt holds the claim and may be sent to an endpoint, once. */
        GRANTED,
        /** Neither this attempt nor an earlier one has run or will run. */
        CLOSED,
        /** Another attempt holds the claim. */
        TAKEN,
        /** The key was already used with another request. */
        MISMATCH,
        /** The log could not be written in time; the attempt must not run. */
        UNKNOWN
    }
}
