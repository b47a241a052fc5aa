package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Prints an entry's decision about a request and the reason.
 *
 * <p>Keeps no state between runs.
 */
final class ExplainCommand implements Command {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Explain why a request was sent to its endpoint, or why it was refused.";
    }

    @Override
    public String arguments() {
        return "REQUEST_ID";
    }

    @Override
    public Options options() {
        return OperatorClient.options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String request = CommandArguments.singleArgument(line, "REQUEST_ID");
        try (OperatorClient client = OperatorClient.fromOptions(line)) {
            OperatorClient.Response response = client.send("GET", "/explain?request=" + request);
            output.println(response.text());
            return response.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
