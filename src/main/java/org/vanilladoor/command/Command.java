package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One subcommand of the program.
 *
 * <p>Implementations keep no state between runs.
 */
interface Command {
    /** Returns the word that names it. */
    String name();

    /** Returns what it does, in one line. */
    String summary();

    /** Returns its arguments as help shows them, options left out. */
    default String arguments() {
        return "";
    }

    /** Returns its options. */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param output where results go
     * @throws IOException if a file can't be read or a process can't be reached
     * @throws UsageException if the arguments are not valid
     */
    ExitCode run(CommandLine line, PrintStream output) throws IOException;
}
