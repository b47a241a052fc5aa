package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.demo.Demo;
import org.vanilladoor.demo.Deployment;

/**
 * Runs a deployment with stand-ins for platform and endpoints in one process.
 *
 * <p>Keeps no state between runs.
 */
final class DemoCommand implements Command {
    private static final int DEFAULT_SECONDS = 20;

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Run stand-ins, entries and a mixed load in one process and check the results.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandArguments.option("seconds", "N", "duration of the load"))
                .addOption(
                        CommandArguments.option(
                                "deployment", "NAME", "al-habsi (default), etiket"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        Deployment deployment =
                Deployment.findByName(line.getOptionValue("deployment", "al-habsi"))
                        .orElseThrow(() -> new UsageException("Unknown deployment"));
        int seconds = CommandArguments.intOption(line, "seconds", DEFAULT_SECONDS);
        boolean passed = Demo.run(deployment, seconds, output);
        return passed ? ExitCode.OK : ExitCode.FAILED;
    }
}
