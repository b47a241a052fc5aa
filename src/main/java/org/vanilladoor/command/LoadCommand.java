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
 * Sends a mixed load to running entries.
 *
 * <p>Keeps no state between runs.
 */
final class LoadCommand implements Command {
    private static final int DEFAULT_RATE = 20;
    private static final int DEFAULT_SECONDS = 10;
    private static final int DEFAULT_SEED = 1;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "Send a mixed load at a steady rate; times count from each call's planned start.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.required(
                                "entries", "HOST:PORT,...", "callers' ports of the entries"))
                .addOption(CommandFiles.required("targets", "FILE", "targets in force"))
                .addOption(
                        CommandFiles.required(
                                "keys", "FILE", "TOML table [keys] with a key of each team"))
                .addOption(CommandFiles.optional("rate", "N", "calls a second"))
                .addOption(CommandFiles.optional("seconds", "N", "length"))
                .addOption(
                        CommandFiles.optional("seed", "N", "the same seed sends the same calls"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("targets");
        Targets targets = TargetsFile.parse(file, CommandFiles.read(file));
        LoadMix mix =
                LoadMix.create(
                        targets,
                        keys(line, targets),
                        CommandFiles.number(line, "seed", DEFAULT_SEED));
        LoadTally tally =
                LoadDriver.create(entries(line), targets, mix)
                        .run(
                                CommandFiles.number(line, "rate", DEFAULT_RATE),
                                CommandFiles.number(line, "seconds", DEFAULT_SECONDS));
        output.println(tally.toText());
        return tally.wrong() == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static List<HostPort> entries(CommandLine line) {
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

    private static Map<String, String> keys(CommandLine line, Targets targets) throws IOException {
        String file = line.getOptionValue("keys");
        TomlSection top = TomlSection.parse(file, CommandFiles.read(file));
        TomlSection section = top.section("keys");
        Map<String, String> keys = new TreeMap<>();
        for (Team team : targets.teams()) {
            section.optionalText(team.name()).ifPresent(key -> keys.put(team.name(), key));
        }
        if (keys.isEmpty()) {
            top.addFinding("keys", "has a key for none of the teams");
        }
        top.throwIfInvalid();
        return keys;
    }
}
