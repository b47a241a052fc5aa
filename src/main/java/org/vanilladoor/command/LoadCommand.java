package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.load.LoadDriver;
import org.vanilladoor.load.LoadMix;
import org.vanilladoor.load.LoadTally;
import org.vanilladoor.settings.TomlSection;

/**
 * Sends a mixed load to running entries and prints the results by class of work and team.
 *
 * <p>Keeps no state between runs.
 */
final class LoadCommand implements Command {
    private static final int DEFAULT_CALLS_PER_SECOND = 20;
    private static final int DEFAULT_SECONDS = 10;
    private static final int DEFAULT_SEED = 1;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "Send a mixed load at a constant rate; latency counts from the planned start.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.requiredOption(
                                "entries", "HOST:PORT,...", "callers' ports of the entries"))
                .addOption(CommandArguments.requiredOption("targets", "FILE", "the active targets"))
                .addOption(
                        CommandArguments.requiredOption(
                                "keys", "FILE", "TOML table [keys] with one key per team"))
                .addOption(CommandArguments.option("rate", "N", "calls per second"))
                .addOption(CommandArguments.option("seconds", "N", "duration of the load"))
                .addOption(
                        CommandArguments.option("seed", "N", "the same seed sends the same calls"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("targets");
        Targets targets = TargetsFile.parse(file, CommandArguments.readFile(file));
        LoadMix mix =
                LoadMix.create(
                        targets,
                        readKeys(line, targets),
                        CommandArguments.intOption(line, "seed", DEFAULT_SEED));
        LoadTally tally =
                LoadDriver.create(parseEntries(line), targets, mix)
                        .run(
                                CommandArguments.intOption(line, "rate", DEFAULT_CALLS_PER_SECOND),
                                CommandArguments.intOption(line, "seconds", DEFAULT_SECONDS));
        output.println(tally.toText());
        return tally.wrongCount() == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static List<HostPort> parseEntries(CommandLine line) {
        List<HostPort> entries = new ArrayList<>();
        for (String text : line.getOptionValue("entries").split(",")) {
            try {
                entries.add(HostPort.parse(text.trim()));
            } catch (IllegalArgumentException e) {
                throw new UsageException(e.getMessage());
            }
        }
        return entries;
    }

    private static Map<String, String> readKeys(CommandLine line, Targets targets)
            throws IOException {
        String file = line.getOptionValue("keys");
        TomlSection root = TomlSection.parse(file, CommandArguments.readFile(file));
        TomlSection section = root.section("keys");
        Map<String, String> keysByTeam = new TreeMap<>();
        for (Team team : targets.teams()) {
            section.optionalText(team.name()).ifPresent(key -> keysByTeam.put(team.name(), key));
        }
        if (keysByTeam.isEmpty()) {
            root.addFinding("keys", "contains no key of a team in the targets");
        }
        root.throwIfInvalid();
        return keysByTeam;
    }
}
