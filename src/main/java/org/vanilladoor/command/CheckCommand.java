package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.settings.EntrySettings;
import org.vanilladoor.standin.StandInSettings;

/**
 * Validates a targets or settings file and prints every finding.
 *
 * <p>Keeps no state between runs.
 */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Validate a file and print every finding with its line and key.";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.option(
                                "kind", "KIND", "targets (default), entry or stand-in"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = CommandArguments.singleArgument(line, "FILE");
        String text = CommandArguments.readFile(file);
        String kind = line.getOptionValue("kind", "targets");
        switch (kind) {
            case "targets" -> TargetsFile.parse(file, text);
            case "entry" -> EntrySettings.parse(file, text);
            case "stand-in" -> StandInSettings.parse(file, text);
            default -> throw new UsageException("Unknown kind of file: " + kind);
        }
        output.println(file + " is valid.");
        return ExitCode.OK;
    }
}
