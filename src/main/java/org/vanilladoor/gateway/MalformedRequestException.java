package org.vanilladoor.gateway;

/**
 * Thrown when a caller's request is not valid.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, including the invalid value
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
