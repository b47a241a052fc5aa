package org.vanilladoor.transport;

import java.util.Objects;

/**
 * Why an outgoing call has no complete answer.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param sent whether any of the request may have reached the other side
 * @param reused whether the connection had served another call before
 * @param reason what happened
 */
public record CallFailure(boolean sent, boolean reused, String reason) {
    public CallFailure {
        Objects.requireNonNull(reason, "reason");
    }
}
