package org.vanilladoor.http;

import java.io.IOException;

/**
 * A connection was refused, so nothing of the request reached the other side.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class NotHandedOverException extends IOException {
    private static final long serialVersionUID = 1L;

    NotHandedOverException(String message, Throwable cause) {
        super(message, cause);
    }
}
