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
        List<String> words = line.getArgList();
        String action = words.isEmpty() ? "" : words.get(0);
        boolean list = action.equals("list") && words.size() == 1;
        boolean change = (action.equals("add") || action.equals("withdraw")) && words.size() == 2;
        if (!list && !change) {
            throw new UsageException("Expected " + arguments());
        }
        try (OperatorClient client = OperatorClient.of(line)) {
            OperatorClient.Answer answer =
                    switch (action) {
                        case "add" -> client.call("POST", "/keys?team=" + encode(words.get(1)));
                        case "withdraw" ->
                                client.call("DELETE", "/keys?identifier=" + encode(words.get(1)));
                        default -> client.call("GET", "/keys");
                    };
            output.println(answer.text());
            return answer.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
