package org.vanilladoor.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.Json;

/**
 * Prints an entry's members, endpoints, leases and configuration version.
 *
 * <p>Keeps no state between runs.
 */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Show an entry's members, endpoints, leases and configuration version.";
    }

    @Override
    public Options options() {
        return OperatorClient.options().addOption(CommandArguments.flag("json", "print JSON"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        try (OperatorClient client = OperatorClient.fromOptions(line)) {
            OperatorClient.Response response = client.send("GET", "/status");
            if (!response.isOk() || line.hasOption("json")) {
                output.println(response.text());
                return response.isOk() ? ExitCode.OK : ExitCode.FAILED;
            }
            printStatus(Json.readTree(response.body()), output);
            return ExitCode.OK;
        }
    }

    private static void printStatus(JsonNode status, PrintStream output) {
        output.printf(
                "%s in %s: %s, configuration %s, %s open calls%s%n",
                status.path("name").asText(),
                status.path("failureDomain").asText(),
                status.path("ready").asBoolean() ? "ready" : "not ready",
                status.path("configurationVersion"),
                status.path("openCalls"),
                status.path("informed").asBoolean() ? "" : ", may not know recent key withdrawals");
        output.println("members:");
        status.path("members")
                .forEach(
                        member ->
                                output.printf(
                                        "  %-20s %s%n",
                                        member.path("name").asText(),
                                        member.path("failureDomain").asText()));
        output.println("endpoints:");
        status.path("endpoints").forEach(endpoint -> printEndpoint(endpoint, output));
        output.println("leases:");
        status.path("leases")
                .forEach(
                        lease ->
                                output.printf(
                                        "  %-24s term %-4s %s%s%n",
                                        lease.path("scope").asText(),
                                        lease.path("term"),
                                        lease.path("holder").asText(),
                                        lease.path("held").asBoolean()
                                                ? " (held by this entry)"
                                                : ""));
    }

    private static void printEndpoint(JsonNode endpoint, PrintStream output) {
        String state =
                endpoint.path("leaving").asBoolean()
                        ? "leaving"
                        : endpoint.path("changing").asBoolean()
                                ? "changing"
                                : endpoint.path("drained").asBoolean() ? "drained" : "serving";
        output.printf(
                "  %-24s %-14s %-8s %-8s %s of %s%n",
                endpoint.path("description").path("name").asText(),
                endpoint.path("description").path("pool").asText(),
                endpoint.path("role").asText(),
                state,
                endpoint.path("requests"),
                endpoint.path("maximumStreams"));
    }
}
