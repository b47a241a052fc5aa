package org.vanilladoor.allowance;

/**
 * Whether a request is within its team's allowance.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param outcome what happens to the request
 * @param millisUntilRoom time after which a refused request has room; 0 for the others
 */
public record Decision(Outcome outcome, long millisUntilRoom) {
    /** The cost of the request has been deducted. */
    public static final Decision ADMITTED = new Decision(Outcome.ADMITTED, 0);

    /** The request has to wait for the next reply of the holder. */
    public static final Decision NEEDS_ADVANCE = new Decision(Outcome.NEEDS_ADVANCE, 0);

    /** What happens to a request. */
    public enum Outcome {
        ADMITTED,
        NEEDS_ADVANCE,
        REFUSED
    }

    /** Returns the decision to refuse a request that has room later. */
    public static Decision refused(long millisUntilRoom) {
        return new Decision(Outcome.REFUSED, Math.max(1, millisUntilRoom));
    }

    /** Returns whether the request may run. */
    public boolean isAdmitted() {
        return outcome == Outcome.ADMITTED;
    }
}
