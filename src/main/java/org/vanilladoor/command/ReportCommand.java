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
 * Reports how fast the error budgets burn.
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
        return "Report the error-budget burn by class and team over several windows.";
    }

    @Override
    public String arguments() {
        return "burn";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.required(
                                "entries", "HOST:PORT,...", "operators' ports of the entries"))
                .addOption(CommandFiles.required("targets", "FILE", "targets with the objectives"))
                .addOption(CommandFiles.flag("json", "show JSON"))
                .addOption(CommandFiles.optional("html", "FILE", "write a page with plots"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        if (!CommandFiles.onlyArgument(line, "burn").equals("burn")) {
            throw new UsageException("Expected burn");
        }
        String credential = System.getenv(CREDENTIAL_VARIABLE);
        if (credential == null) {
            throw new UsageException(CREDENTIAL_VARIABLE + " is not set");
        }
        String file = line.getOptionValue("targets");
        Targets targets = TargetsFile.parse(file, CommandFiles.read(file));
        Map<Integer, List<LevelRow>> rows = new TreeMap<>();
        for (int minutes : BurnReport.WINDOW_MINUTES) {
            rows.put(
                    minutes,
                    collect(line.getOptionValue("entries").split(","), credential, minutes));
        }
        BurnReport report = BurnReport.of(targets, rows);
        output.println(line.hasOption("json") ? new String(Json.write(report)) : report.toText());
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), report.toHtml());
        }
        return ExitCode.OK;
    }

    private static List<LevelRow> collect(String[] entries, String credential, int minutes)
            throws IOException {
        List<LevelRow> rows = new ArrayList<>();
        for (String entry : entries) {
            try (OperatorClient client =
                    OperatorClient.create(HostPort.parse(entry.trim()), credential)) {
                OperatorClient.Answer answer = client.call("GET", "/levels?minutes=" + minutes);
                if (!answer.isOk()) {
                    throw new IOException(entry + " answered " + answer.text());
                }
                rows.addAll(Json.read(answer.body(), new TypeReference<List<LevelRow>>() {}));
            }
        }
        return rows;
    }
}
