package org.vanilladoor.command;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.report.BurnReport;
import org.vanilladoor.report.LevelRow;

/**
 * Collects the service levels of all entries and reports the burn rate of the error budgets.
 *
 * <p>Keeps no state between runs.
 */
final class ReportCommand implements Command {
    private static final String CREDENTIAL_VARIABLE = "VANILLADOOR_CREDENTIAL";

    @Override
    public String name() {
        return "report";
    }

    @Override
    public String summary() {
        return "Report the error-budget burn rate by class and team over several windows.";
    }

    @Override
    public String arguments() {
        return "burn";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.requiredOption(
                                "entries", "HOST:PORT,...", "operators' ports of the entries"))
                .addOption(
                        CommandArguments.requiredOption(
                                "targets", "FILE", "targets with the objectives"))
                .addOption(CommandArguments.flag("json", "print JSON"))
                .addOption(
                        CommandArguments.option("html", "FILE", "write an HTML page with plots"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        if (!CommandArguments.singleArgument(line, "burn").equals("burn")) {
            throw new UsageException("Expected the argument burn");
        }
        String credential = System.getenv(CREDENTIAL_VARIABLE);
        if (credential == null) {
            throw new UsageException(CREDENTIAL_VARIABLE + " is not set");
        }
        String file = line.getOptionValue("targets");
        Targets targets = TargetsFile.parse(file, CommandArguments.readFile(file));
        Map<Integer, List<LevelRow>> rowsByWindowMinutes = new TreeMap<>();
        for (int minutes : BurnReport.WINDOW_MINUTES) {
            rowsByWindowMinutes.put(
                    minutes,
                    fetchLevels(line.getOptionValue("entries").split(","), credential, minutes));
        }
        BurnReport report = BurnReport.of(targets, rowsByWindowMinutes);
        output.println(line.hasOption("json") ? new String(Json.write(report)) : report.toText());
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), report.toHtml());
        }
        return ExitCode.OK;
    }

    private static List<LevelRow> fetchLevels(String[] entries, String credential, int minutes)
            throws IOException {
        List<LevelRow> rows = new ArrayList<>();
        for (String entry : entries) {
            try (OperatorClient client =
                    OperatorClient.create(HostPort.parse(entry.trim()), credential)) {
                OperatorClient.Response response = client.send("GET", "/levels?minutes=" + minutes);
                if (!response.isOk()) {
                    throw new IOException(entry + " responded with an error: " + response.text());
                }
                rows.addAll(Json.read(response.body(), new TypeReference<List<LevelRow>>() {}));
            }
        }
        return rows;
    }
}
