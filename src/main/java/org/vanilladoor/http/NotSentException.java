package org.vanilladoor.http;

import java.io.IOException;

/**
 * Thrown when no connection could be made, so that no part of the request was sent.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class NotSentException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception for a call whose endpoint is no longer known. */
    public NotSentException(String message) {
        super(message);
    }

    NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
