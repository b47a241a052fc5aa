package org.vanilladoor.claim;

/**
 * What the claim log says about an attempt.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind what was settled
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

    /** What was settled. */
    public enum Kind {
        /** The attempt may be handed over, once. */
        GRANTED,
        /** Neither this attempt nor an earlier one has run or will run. */
        CLOSED,
        /** Another attempt holds the claim. */
        TAKEN,
        /** The key stands for another request. */
        MISMATCH,
        /** The log could not be written in time; the attempt must not run. */
        UNKNOWN
    }
}
