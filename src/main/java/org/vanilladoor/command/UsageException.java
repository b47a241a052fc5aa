package org.vanilladoor.command;

/**
 * The arguments of a command are not valid.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
