package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.measure.AddedLatency;
import org.vanilladoor.measure.ConfigurationSlope;
import org.vanilladoor.measure.DecisionSlope;
import org.vanilladoor.measure.EntrySlope;
import org.vanilladoor.measure.MessageSlope;
import org.vanilladoor.measure.Propagation;

/**
 * Measures the slopes that the capacity page rests on.
 *
 * <p>Keeps no state between runs.
 */
final class MeasureCommand implements Command {
    private static final String DEFAULT_COUNTS = "4,13,40";

    @Override
    public String name() {
        return "measure";
    }

    @Override
    public String summary() {
        return "Measure what entries, messages, decisions and configurations cost by size.";
    }

    @Override
    public String arguments() {
        return "entries | messages | decisions | configuration | added-latency | propagation";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.optional("counts", "N,...", "numbers of entries to measure"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        switch (CommandFiles.onlyArgument(line, arguments())) {
            case "entries" -> EntrySlope.run(counts(line), output);
            case "messages" -> MessageSlope.run(output);
            case "decisions" -> DecisionSlope.run(output);
            case "configuration" -> ConfigurationSlope.run(output);
            case "propagation" -> Propagation.run(output);
            case "added-latency" -> AddedLatency.run(output);
            default -> throw new UsageException("Expected " + arguments());
        }
        return ExitCode.OK;
    }

    private static int[] counts(CommandLine line) {
        try {
            return Arrays.stream(line.getOptionValue("counts", DEFAULT_COUNTS).split(","))
                    .mapToInt(Integer::parseInt)
                    .toArray();
        } catch (NumberFormatException e) {
            throw new UsageException("Option --counts is not a list of whole numbers");
        }
    }
}
