package org.vanilladoor.fleet;

/**
 * What an endpoint's response says about further requests of this VM.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param leaving whether the endpoint is leaving and takes no new work
 * @param pauseMillis time for which it wants no request, in milliseconds; 0 if it states none
 */
public record EndpointNotice(boolean leaving, long pauseMillis) {
    private static final EndpointNotice NONE = new EndpointNotice(false, 0);

    /** Returns the notice of a response that says nothing about further requests. */
    public static EndpointNotice none() {
        return NONE;
    }
}
