package org.vanilladoor.provider;

/**
 * Thrown when a conditional write had no effect because the object has another version than
 * expected.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class VersionConflictException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a write to the named object. */
    public VersionConflictException(String name) {
        super("object does not have the expected version: " + name);
    }
}
