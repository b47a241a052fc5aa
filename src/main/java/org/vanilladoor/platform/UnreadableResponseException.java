package org.vanilladoor.platform;

import org.vanilladoor.provider.StoreUnavailableException;

/**
 * Thrown when a response of the store has arrived, but is too large or not in its format.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class UnreadableResponseException extends StoreUnavailableException {
    private static final long serialVersionUID = 1L;

    UnreadableResponseException(String message) {
        super(message);
    }
}
