package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A command of the program, such as {@code entry} or {@code apply}.
 *
 * <p>Implementations keep no state between runs.
 */
interface Command {
    /** Returns the name of the command, its first word on the command line. */
    String name();

    /** Returns a one-line description for the help text. */
    String summary();

    /** Returns the arguments without the options, as the help text shows them. */
    default String arguments() {
        return "";
    }

    /** Returns a new set of the command's options, which the caller may extend. */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param output receives the results
     * @throws IOException if a file can't be read or written, or a process can't be reached
     * @throws UsageException if the arguments are not valid
     */
    ExitCode run(CommandLine line, PrintStream output) throws IOException;
}
