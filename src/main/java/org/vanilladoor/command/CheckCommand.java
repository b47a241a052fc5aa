package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.settings.EntrySettings;
import org.vanilladoor.standin.StandInSettings;

/**
 * Checks a file and shows every finding.
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
        return "Check a file and show every finding with its line and key.";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.optional(
                                "kind", "KIND", "targets (default), entry or stand-in"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = CommandFiles.onlyArgument(line, "FILE");
        String text = CommandFiles.read(file);
        String kind = line.getOptionValue("kind", "targets");
        switch (kind) {
            case "targets" -> TargetsFile.parse(file, text);
            case "entry" -> EntrySettings.parse(file, text);
            case "stand-in" -> StandInSettings.parse(file, text);
            default -> throw new UsageException("No such kind of file: " + kind);
        }
        output.println(file + " is valid.");
        return ExitCode.OK;
    }
}
