package org.vanilladoor.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.entry.Entry;
import org.vanilladoor.load.LoadDriver;
import org.vanilladoor.load.LoadMix;
import org.vanilladoor.load.LoadTally;
import org.vanilladoor.report.BurnReport;
import org.vanilladoor.report.LevelRow;
import org.vanilladoor.standin.EndpointRecord;
import org.vanilladoor.standin.EngineStandIn;
import org.vanilladoor.standin.ServiceStandIn;

/**
 * Runs a deployment with stand-ins under a mixed load and checks the guarantees against the records
 * that the stand-ins keep.
 *
 * <p>Stateless.
 */
public final class Demo {
    private static final double CALLS_PER_SECOND = 60;
    private static final long SEED = 7;

    private Demo() {}

    /**
     * Runs a demonstration and prints how to call it, the results and the checks.
     *
     * @param seconds duration of the load
     * @return whether every check passed: no call with an idempotency key ran twice, no response
     *     was wrong, no request was aborted by a role change and no key of a caller reached an
     *     endpoint
     */
    public static boolean run(Deployment deployment, int seconds, PrintStream output)
            throws IOException {
        Targets targets = TargetsFile.parse("targets.toml", deployment.readTargets());
        try (LocalFleet fleet = LocalFleet.start(deployment, targets, deployment.entryCount())) {
            List<HostPort> addresses = fleet.entries().stream().map(Entry::callerAddress).toList();
            printAccessDetails(fleet, targets, output);
            LoadMix mix = LoadMix.create(targets, fleet.keysByTeam(), SEED);
            LoadTally tally =
                    LoadDriver.create(addresses, targets, mix).run(CALLS_PER_SECOND, seconds);
            output.println(tally.toText());
            Path reportFile = Files.createTempFile("vanilladoor-burn-", ".html");
            Files.writeString(reportFile, createBurnReport(fleet, targets).toHtml());
            output.println("burn report written to " + reportFile);
            return checkGuarantees(fleet, tally, output);
        }
    }

    private static void printAccessDetails(LocalFleet fleet, Targets targets, PrintStream output) {
        fleet.entries()
                .forEach(
                        entry ->
                                output.println(
                                        "entry "
                                                + entry.callerAddress()
                                                + ", operators "
                                                + entry.operatorAddress()));
        String team = targets.teams().get(0).name();
        String model = targets.models().get(0).name();
        String key = fleet.keysByTeam().get(team);
        output.println("operators' credential: " + LocalFleet.CREDENTIAL);
        output.println("key of team " + team + ": " + key);
        output.printf(
                "try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s'"
                        + " -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
                fleet.entries().get(0).callerAddress(), key, model);
    }

    private static BurnReport createBurnReport(LocalFleet fleet, Targets targets) {
        Map<Integer, List<LevelRow>> rowsByWindowMinutes = new TreeMap<>();
        for (int minutes : BurnReport.WINDOW_MINUTES) {
            rowsByWindowMinutes.put(
                    minutes,
                    fleet.entries().stream()
                            .flatMap(entry -> entry.levels(minutes).stream())
                            .toList());
        }
        return BurnReport.of(targets, rowsByWindowMinutes);
    }

    private static boolean checkGuarantees(LocalFleet fleet, LoadTally tally, PrintStream output) {
        int duplicateExecutions = 0;
        Set<String> credentials = new HashSet<>();
        for (ServiceStandIn service : fleet.standIns().services().values()) {
            credentials.addAll(service.record().credentials());
        }
        List<String> idempotencyKeys = new ArrayList<>();
        fleet.standIns()
                .services()
                .values()
                .forEach(service -> idempotencyKeys.addAll(service.record().idempotencyKeys()));
        duplicateExecutions += idempotencyKeys.size() - new HashSet<>(idempotencyKeys).size();
        int abortedRequests = 0;
        for (EngineStandIn engine : fleet.standIns().engines().values()) {
            EndpointRecord record = engine.record();
            credentials.addAll(record.credentials());
            abortedRequests += record.cut();
        }
        boolean hasLeakedKeys =
                credentials.stream()
                        .anyMatch(
                                credential ->
                                        !credential.equals("Bearer " + LocalFleet.CREDENTIAL));
        output.printf(
                "purchases run %d, run more than once %d; wrong responses %d; requests aborted by"
                        + " role changes %d; callers' keys at endpoints: %s%n",
                idempotencyKeys.size(),
                duplicateExecutions,
                tally.wrongCount(),
                abortedRequests,
                hasLeakedKeys ? "FOUND" : "none");
        return duplicateExecutions == 0
                && tally.wrongCount() == 0
                && abortedRequests == 0
                && !hasLeakedKeys;
    }
}
