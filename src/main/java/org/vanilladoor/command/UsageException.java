package org.vanilladoor.command;

/**
 * Thrown if the arguments of a command are invalid. {@link Main} prints the message and a reference
 * to the help.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
