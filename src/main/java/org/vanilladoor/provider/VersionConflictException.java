package org.vanilladoor.provider;

/**
 * A conditional write had no effect, since the object has another version than expected.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class VersionConflictException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure of a write to the named object. */
    public VersionConflictException(String name) {
        super("object has another version than expected: " + name);
    }
}
