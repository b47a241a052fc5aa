package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.demo.FreePorts;
import org.vanilladoor.platform.WarmUp;

/**
 * Starts a serving process in front of stand-ins, sends it requests and stops it.
 *
 * <p>The build runs it to record the classes that are loaded at a start in a class data sharing
 * archive, so that a process on a small VM is ready sooner after a restart. Keeps no state between
 * runs.
 */
final class WarmUpCommand implements Command {
    @Override
    public String name() {
        return "warm-up";
    }

    @Override
    public String summary() {
        return "Start and stop a serving process to record the class data sharing archive.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        WarmUp.run(FreePorts.find(WarmUp.ADDRESSES), output);
        return ExitCode.OK;
    }
}
