package org.vanilladoor.http;

import java.io.IOException;

/**
 * No connection was made, so nothing of the request reached the other side.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class NotSentException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure of a call for which there is nobody to send it to. */
    public NotSentException(String message) {
        super(message);
    }

    NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
