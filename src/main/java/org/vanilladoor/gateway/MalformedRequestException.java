package org.vanilladoor.gateway;

/**
 * A caller's request is not valid.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what is wrong, with the value at fault
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
