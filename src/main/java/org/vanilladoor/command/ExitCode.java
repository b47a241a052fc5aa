package org.vanilladoor.command;

/**
 * The exit codes of the program.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum ExitCode {
    /** All went well. */
    OK(0),
    /** The command ran and something failed or a promise was seen broken. */
    FAILED(1),
    /** Arguments, settings or targets are not valid. */
    INVALID(2);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
