package org.vanilladoor.transport;

import java.util.Objects;

/**
 * The reason for which an outgoing call got no complete response.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param mayHaveBeenSent whether any of the request may have reached the peer
 * @param isConnectionReused whether the connection had carried an earlier call
 * @param isConnectionRefused whether the peer refused the connection, since nothing listens there
 * @param reason description of the failure
 */
public record CallFailure(
        boolean mayHaveBeenSent,
        boolean isConnectionReused,
        boolean isConnectionRefused,
        String reason) {
    public CallFailure {
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns the failure of a call whose peer sent something that is no response to it. */
    public static CallFailure ofInvalidResponse(String reason) {
        return new CallFailure(true, false, false, reason);
    }
}
