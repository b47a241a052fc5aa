package org.vanilladoor.command;

/**
 * The exit codes of the program, as its help text lists them.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command ran, but an operation or one of its checks failed. */
    FAILED(1),
    /** The arguments, settings or targets are invalid. */
    INVALID(2);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
