package org.vanilladoor.http;

import java.io.IOException;

/**
 * No connection was made, so nothing of the request reached the other side.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class NotHandedOverException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure of a call for which there is nobody to send it to. */
    public NotHandedOverException(String message) {
        super(message);
    }

    NotHandedOverException(String message, Throwable cause) {
        super(message, cause);
    }
}
