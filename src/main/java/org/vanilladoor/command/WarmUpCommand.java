package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.demo.FreePorts;
import org.vanilladoor.platform.WarmUp;

/**
 * Starts a serving process without a platform, sends it a request and stops it.
 *
 * <p>The build runs it to record the classes that a start needs, so that a process on a small VM is
 * ready sooner after a restart. Keeps no state between runs.
 */
final class WarmUpCommand implements Command {
    @Override
    public String name() {
        return "warm-up";
    }

    @Override
    public String summary() {
        return "Start and stop a serving process, for the build's class data archive.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        WarmUp.run(FreePorts.find(2), output);
        return ExitCode.OK;
    }
}
