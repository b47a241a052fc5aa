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
 * Runs a deployment with stand-ins under a mixed load and judges the outcome by the stand-ins' own
 * records.
 *
 * <p>Stateless.
 */
public final class Demo {
    private static final double CALLS_PER_SECOND = 60;
    private static final long SEED = 7;

    private Demo() {}

    /**
     * Runs a demonstration.
     *
     * @return whether no promise was seen broken
     */
    public static boolean run(Deployment deployment, int seconds, PrintStream output)
            throws IOException {
        Targets targets = TargetsFile.parse("targets.toml", deployment.readTargets());
        try (LocalFleet fleet = LocalFleet.start(deployment, targets, deployment.entries())) {
            List<HostPort> addresses = fleet.entries().stream().map(Entry::callerAddress).toList();
            introduce(fleet, targets, output);
            LoadMix mix = LoadMix.create(targets, fleet.keysByTeam(), SEED);
            LoadTally tally =
                    LoadDriver.create(addresses, targets, mix).run(CALLS_PER_SECOND, seconds);
            output.println(tally.toText());
            Path report = Files.createTempFile("vanilladoor-burn-", ".html");
            Files.writeString(report, burn(fleet, targets).toHtml());
            output.println("burn report written to " + report);
            return judge(fleet, tally, output);
        }
    }

    private static void introduce(LocalFleet fleet, Targets targets, PrintStream output) {
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

    private static BurnReport burn(LocalFleet fleet, Targets targets) {
        Map<Integer, List<LevelRow>> rows = new TreeMap<>();
        for (int minutes : BurnReport.WINDOW_MINUTES) {
            rows.put(
                    minutes,
                    fleet.entries().stream()
                            .flatMap(entry -> entry.levels(minutes).stream())
                            .toList());
        }
        return BurnReport.of(targets, rows);
    }

    private static boolean judge(LocalFleet fleet, LoadTally tally, PrintStream output) {
        int doubled = 0;
        Set<String> credentials = new HashSet<>();
        for (ServiceStandIn service : fleet.standIns().services().values()) {
            credentials.addAll(service.record().credentials());
        }
        List<String> keys = new ArrayList<>();
        fleet.standIns()
                .services()
                .values()
                .forEach(service -> keys.addAll(service.record().idempotencyKeys()));
        doubled += keys.size() - new HashSet<>(keys).size();
        int cut = 0;
        for (EngineStandIn engine : fleet.standIns().engines().values()) {
            EndpointRecord record = engine.record();
            credentials.addAll(record.credentials());
            cut += record.cut();
        }
        boolean leaked =
                credentials.stream()
                        .anyMatch(each -> !each.equals("Bearer " + LocalFleet.CREDENTIAL));
        output.printf(
                "purchases run %d, doubled %d; wrong answers %d; requests cut by role changes %d;"
                        + " callers' keys at endpoints: %s%n",
                keys.size(), doubled, tally.wrong(), cut, leaked ? "SEEN" : "none");
        return doubled == 0 && tally.wrong() == 0 && cut == 0 && !leaked;
    }
}
