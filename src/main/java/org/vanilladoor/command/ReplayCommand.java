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
 * Replays a trace in simulated time and checks the results against a file of stated outcomes.
 *
 * <p>Keeps no state between runs.
 */
final class ReplayCommand implements Command {
    private static final int DEFAULT_SEED = 1;
    private static final int MAXIMUM_FAILURE_DOMAINS = 4;

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "Replay a trace or scenario in simulated time and check the stated outcomes.";
    }

    @Override
    public String arguments() {
        return "TRACE|SCENARIO";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.option("deployment", "NAME", "al-habsi (default), etiket"))
                .addOption(
                        CommandArguments.option(
                                "policies", "NAME,...", "policy sets, default standard"))
                .addOption(CommandArguments.option("seed", "N", "seed of a scenario's trace"))
                .addOption(
                        CommandArguments.option(
                                "steady",
                                "N",
                                "engines that are not reclaimable, default the deployment's"))
                .addOption(CommandArguments.option("reclaimable", "N", "reclaimable engines"))
                .addOption(CommandArguments.option("entries", "N", "entries, default 13"))
                .addOption(
                        CommandArguments.option(
                                "outcome", "FILE", "stated outcomes to check, in TOML"))
                .addOption(
                        CommandArguments.option("write-trace", "FILE", "write the trace to a file"))
                .addOption(
                        CommandArguments.option("html", "FILE", "write an HTML page with plots"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String name = CommandArguments.singleArgument(line, "TRACE|SCENARIO");
        Deployment deployment =
                Deployment.findByName(line.getOptionValue("deployment", "al-habsi"))
                        .orElseThrow(() -> new UsageException("Unknown deployment"));
        Targets targets = TargetsFile.parse("targets.toml", deployment.readTargets());
        List<TraceEvent> trace = loadTrace(line, name, deployment, targets);
        if (line.hasOption("write-trace")) {
            TraceFile.write(Path.of(line.getOptionValue("write-trace")), trace);
        }
        Map<String, ReplayTally> talliesByPolicySet = new LinkedHashMap<>();
        for (PolicySet policySet : parsePolicySets(line)) {
            ReplayFleet fleet = createFleet(line, deployment, policySet);
            ReplayTally tally = Replay.run(trace, fleet, targets, policySet.policies());
            talliesByPolicySet.put(policySet.commandLineName(), tally);
            output.println("policies " + policySet.commandLineName());
            output.print(tally.toText());
            tally.roleChangeDescriptions().forEach(change -> output.println("  " + change));
        }
        if (line.hasOption("html")) {
            Files.writeString(
                    Path.of(line.getOptionValue("html")),
                    ReplayPage.html(name, talliesByPolicySet));
        }
        return checkOutcomes(line, talliesByPolicySet, output);
    }

    /** Checks the results of the first policy set; prints the stated outcomes that were missed. */
    private static ExitCode checkOutcomes(
            CommandLine line, Map<String, ReplayTally> talliesByPolicySet, PrintStream output)
            throws IOException {
        if (!line.hasOption("outcome")) {
            return ExitCode.OK;
        }
        String file = line.getOptionValue("outcome");
        StatedOutcomes outcomes = StatedOutcomes.parse(file, CommandArguments.readFile(file));
        List<String> missed = outcomes.findMissed(talliesByPolicySet.values().iterator().next());
        missed.forEach(outcome -> output.println("missed: " + outcome));
        output.println(
                missed.isEmpty() ? "all stated outcomes were met" : "stated outcomes were missed");
        return missed.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static List<TraceEvent> loadTrace(
            CommandLine line, String name, Deployment deployment, Targets targets)
            throws IOException {
        Optional<Scenario> scenario = Scenario.named(name);
        if (scenario.isPresent()) {
            int seed = CommandArguments.intOption(line, "seed", DEFAULT_SEED);
            return scenario.get().createTrace(targets, failureDomains(deployment), seed);
        }
        if (!Files.exists(Path.of(name))) {
            throw new UsageException("Unknown trace or scenario: " + name);
        }
        return TraceFile.read(Path.of(name));
    }

    private static List<PolicySet> parsePolicySets(CommandLine line) {
        List<PolicySet> policySets = new ArrayList<>();
        for (String name : line.getOptionValue("policies", "standard").split(",")) {
            policySets.add(
                    PolicySet.named(name)
                            .orElseThrow(() -> new UsageException("Unknown policy set: " + name)));
        }
        return policySets;
    }

    private static ReplayFleet createFleet(
            CommandLine line, Deployment deployment, PolicySet policySet) {
        return new ReplayFleet(
                CommandArguments.intOption(line, "entries", deployment.entryCount()),
                CommandArguments.intOption(line, "steady", deployment.engineCount()),
                CommandArguments.intOption(line, "reclaimable", 0),
                failureDomains(deployment),
                policySet.prefillEngineCount());
    }

    private static List<String> failureDomains(Deployment deployment) {
        List<String> failureDomains = new ArrayList<>();
        for (int i = 0; i < MAXIMUM_FAILURE_DOMAINS; i++) {
            String failureDomain = deployment.failureDomain(i);
            if (!failureDomains.contains(failureDomain)) {
                failureDomains.add(failureDomain);
            }
        }
        return failureDomains;
    }
}
