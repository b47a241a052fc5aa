package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.demo.Demo;
import org.vanilladoor.demo.Deployment;

/**
 * Runs a whole deployment with stand-ins in one process.
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
        return "Run stand-ins, entries and a mixed load in one process and judge the outcome.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandFiles.optional("seconds", "N", "length of the load"))
                .addOption(
                        CommandFiles.optional("deployment", "NAME", "al-habsi (default), etiket"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        Deployment deployment =
                Deployment.named(line.getOptionValue("deployment", "al-habsi"))
                        .orElseThrow(() -> new UsageException("No such deployment"));
        int seconds = CommandFiles.number(line, "seconds", DEFAULT_SECONDS);
        boolean sound = Demo.run(deployment, seconds, output);
        return sound ? ExitCode.OK : ExitCode.FAILED;
    }
}
