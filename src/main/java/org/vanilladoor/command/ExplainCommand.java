package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Explains what was decided about a request.
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
        return "Explain why a request went where it went, or why it was refused.";
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
        String request = CommandFiles.onlyArgument(line, "REQUEST_ID");
        try (OperatorClient client = OperatorClient.of(line)) {
            OperatorClient.Answer answer = client.call("GET", "/explain?request=" + request);
            output.println(answer.text());
            return answer.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
