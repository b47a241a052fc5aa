package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.replay.PolicySet;
import org.vanilladoor.replay.Replay;
import org.vanilladoor.replay.ReplayFleet;
import org.vanilladoor.replay.ReplayPage;
import org.vanilladoor.replay.ReplayTally;
import org.vanilladoor.replay.Scenario;
import org.vanilladoor.replay.StatedOutcomes;
import org.vanilladoor.replay.TraceEvent;
import org.vanilladoor.replay.TraceFile;

/**
 * Replays a trace on a virtual clock and judges it against stated outcomes.
 *
 * <p>Keeps no state between runs.
 */
final class ReplayCommand implements Command {
    private static final int DEFAULT_SEED = 1;
    private static final int DOMAINS = 4;

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "Replay a trace or scenario through the decisions and judge the outcome.";
    }

    @Override
    public String arguments() {
        return "TRACE|SCENARIO";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.optional("deployment", "NAME", "al-habsi (default), etiket"))
                .addOption(
                        CommandFiles.optional(
                                "policies", "NAME,...", "sets of policies, default standard"))
                .addOption(CommandFiles.optional("seed", "N", "seed of a scenario's trace"))
                .addOption(
                        CommandFiles.optional(
                                "steady", "N", "steady engines, default the deployment's"))
                .addOption(CommandFiles.optional("reclaimable", "N", "reclaimable engines"))
                .addOption(CommandFiles.optional("entries", "N", "entries, default 13"))
                .addOption(CommandFiles.optional("outcome", "FILE", "stated outcomes in TOML"))
                .addOption(CommandFiles.optional("write-trace", "FILE", "write the trace"))
                .addOption(CommandFiles.optional("html", "FILE", "write a page with plots"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String name = CommandFiles.onlyArgument(line, "TRACE|SCENARIO");
        Deployment deployment =
                Deployment.named(line.getOptionValue("deployment", "al-habsi"))
                        .orElseThrow(() -> new UsageException("No such deployment"));
        Targets targets = TargetsFile.parse("targets.toml", deployment.targets());
        List<TraceEvent> trace = trace(line, name, deployment, targets);
        if (line.hasOption("write-trace")) {
            TraceFile.write(Path.of(line.getOptionValue("write-trace")), trace);
        }
        Map<String, ReplayTally> tallies = new LinkedHashMap<>();
        for (PolicySet set : policies(line)) {
            ReplayFleet fleet = fleet(line, deployment, set);
            ReplayTally tally = Replay.run(trace, fleet, targets, set.policies());
            tallies.put(set.commandLineName(), tally);
            output.println("policies " + set.commandLineName());
            output.print(tally.toText());
            tally.roleChangeDescriptions().forEach(change -> output.println("  " + change));
        }
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), ReplayPage.html(name, tallies));
        }
        return judge(line, tallies, output);
    }

    private static ExitCode judge(
            CommandLine line, Map<String, ReplayTally> tallies, PrintStream output)
            throws IOException {
        if (!line.hasOption("outcome")) {
            return ExitCode.OK;
        }
        String file = line.getOptionValue("outcome");
        StatedOutcomes outcomes = StatedOutcomes.parse(file, CommandFiles.read(file));
        List<String> missed = outcomes.findMissed(tallies.values().iterator().next());
        missed.forEach(each -> output.println("missed: " + each));
        output.println(missed.isEmpty() ? "all stated outcomes met" : "outcomes missed");
        return missed.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static List<TraceEvent> trace(
            CommandLine line, String name, Deployment deployment, Targets targets)
            throws IOException {
        Optional<Scenario> scenario = Scenario.named(name);
        if (scenario.isPresent()) {
            int seed = CommandFiles.number(line, "seed", DEFAULT_SEED);
            return scenario.get().createTrace(targets, domains(deployment), seed);
        }
        if (!Files.exists(Path.of(name))) {
            throw new UsageException("No such trace or scenario: " + name);
        }
        return TraceFile.read(Path.of(name));
    }

    private static List<PolicySet> policies(CommandLine line) {
        List<PolicySet> sets = new ArrayList<>();
        for (String name : line.getOptionValue("policies", "standard").split(",")) {
            sets.add(
                    PolicySet.named(name)
                            .orElseThrow(
                                    () -> new UsageException("No such set of policies: " + name)));
        }
        return sets;
    }

    private static ReplayFleet fleet(CommandLine line, Deployment deployment, PolicySet set) {
        return new ReplayFleet(
                CommandFiles.number(line, "entries", deployment.entries()),
                CommandFiles.number(line, "steady", deployment.engines()),
                CommandFiles.number(line, "reclaimable", 0),
                domains(deployment),
                set.prefillEngineCount());
    }

    private static List<String> domains(Deployment deployment) {
        List<String> domains = new ArrayList<>();
        for (int i = 0; i < DOMAINS; i++) {
            String domain = deployment.failureDomain(i);
            if (!domains.contains(domain)) {
                domains.add(domain);
            }
        }
        return domains;
    }
}
