package org.vanilladoor.standin;

/**
 * The faults that a stand-in endpoint shows.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param loadLagMillis age of the load that is reported
 * @param cutAfterTokens ends streams without an end marker after so many tokens; 0 for never
 * @param wrongIdentifier answers with the identifier of another request
 * @param silent answers nothing
 * @param shortAnswers ends whole answers short of their length
 * @param leaving whether it tells that it is about to go
 */
public record EngineFaults(
        int loadLagMillis,
        int cutAfterTokens,
        boolean wrongIdentifier,
        boolean silent,
        boolean shortAnswers,
        boolean leaving) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, false, false, false, false);
}
