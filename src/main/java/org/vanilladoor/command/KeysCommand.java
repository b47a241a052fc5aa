package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Adds, withdraws and lists teams' keys.
 *
 * <p>Keeps no state between runs.
 */
final class KeysCommand implements Command {
    @Override
    public String name() {
        return "keys";
    }

    @Override
    public String summary() {
        return "Add a team's key (shown once), withdraw one, or list them.";
    }

    @Override
    public String arguments() {
        return "add TEAM | withdraw IDENTIFIER | list";
    }

    @Override
    public Options options() {
        return OperatorClient.options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        List<String> positionalArguments = line.getArgList();
        String action = positionalArguments.isEmpty() ? "" : positionalArguments.get(0);
        boolean isList = action.equals("list") && positionalArguments.size() == 1;
        boolean isChange =
                (action.equals("add") || action.equals("withdraw"))
                        && positionalArguments.size() == 2;
        if (!isList && !isChange) {
            throw new UsageException("Expected " + arguments());
        }
        try (OperatorClient client = OperatorClient.fromOptions(line)) {
            OperatorClient.Response response =
                    switch (action) {
                        case "add" ->
                                client.send(
                                        "POST", "/keys?team=" + encode(positionalArguments.get(1)));
                        case "withdraw" ->
                                client.send(
                                        "DELETE",
                                        "/keys?identifier=" + encode(positionalArguments.get(1)));
                        default -> client.send("GET", "/keys");
                    };
            output.println(response.text());
            return response.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
