package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.measure.AddedLatencyBenchmark;
import org.vanilladoor.measure.ConfigurationSizeBenchmark;
import org.vanilladoor.measure.DecisionTimeBenchmark;
import org.vanilladoor.measure.EntryCostBenchmark;
import org.vanilladoor.measure.MessageSizeBenchmark;
import org.vanilladoor.measure.PropagationBenchmark;

/**
 * Runs one of the benchmarks behind the figures in {@code docs/CAPACITY.md} and {@code
 * docs/MEASUREMENTS.md}.
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
        return "Measure how costs grow with size, the propagation of changes, and added latency.";
    }

    @Override
    public String arguments() {
        return "entries | messages | decisions | configuration | added-latency | propagation";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.option(
                                "counts", "N,...", "numbers of entries to measure"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        switch (CommandArguments.singleArgument(line, arguments())) {
            case "entries" -> EntryCostBenchmark.run(parseCounts(line), output);
            case "messages" -> MessageSizeBenchmark.run(output);
            case "decisions" -> DecisionTimeBenchmark.run(output);
            case "configuration" -> ConfigurationSizeBenchmark.run(output);
            case "propagation" -> PropagationBenchmark.run(output);
            case "added-latency" -> AddedLatencyBenchmark.run(output);
            default -> throw new UsageException("Expected " + arguments());
        }
        return ExitCode.OK;
    }

    private static int[] parseCounts(CommandLine line) {
        try {
            return Arrays.stream(line.getOptionValue("counts", DEFAULT_COUNTS).split(","))
                    .mapToInt(Integer::parseInt)
                    .toArray();
        } catch (NumberFormatException e) {
            throw new UsageException("Option --counts is not a list of integers");
        }
    }
}
