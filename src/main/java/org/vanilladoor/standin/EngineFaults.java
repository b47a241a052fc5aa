package org.vanilladoor.standin;

/**
 * The faults that a stand-in endpoint simulates.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param loadLagMillis age of the reported load, in milliseconds
 * @param cutAfterTokens number of tokens after which streamed responses end without an end marker;
 *     0 disables this fault
 * @param wrongIdentifier whether responses carry the identifier of another request
 * @param silent whether calls fail without any response content
 * @param shortAnswers whether responses that aren't streamed end before their announced length
 * @param leaving whether load reports say that the endpoint is about to leave
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
