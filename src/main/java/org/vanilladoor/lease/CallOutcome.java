package org.vanilladoor.lease;

import java.util.concurrent.CompletionException;
import org.vanilladoor.provider.CallRejectedException;
import org.vanilladoor.provider.NoResponseException;
import org.vanilladoor.provider.VersionConflictException;

/**
 * What is known about a call under a lease when it ends.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum CallOutcome {
    /** Its receiver has responded. */
    ANSWERED,
    /** None of it was sent, and none will be. */
    NOT_SENT,
    /** Its receiver may have it, or may still get it. */
    UNKNOWN;

    /** Returns the outcome of a call that has failed, or has succeeded if there is no failure. */
    public static CallOutcome of(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof LeaseNotHeldException) {
            return NOT_SENT;
        }
        if (cause instanceof NoResponseException noResponse) {
            return noResponse.mayHaveBeenSent() ? UNKNOWN : NOT_SENT;
        }
        boolean isAnswered =
                cause == null
                        || cause instanceof CallRejectedException
                        || cause instanceof VersionConflictException;
        return isAnswered ? ANSWERED : UNKNOWN;
    }
}
