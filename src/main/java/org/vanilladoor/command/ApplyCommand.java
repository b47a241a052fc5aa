package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.configuration.TargetsFile;

/**
 * Validates a targets file and sends it to an entry, which activates it as a new configuration.
 *
 * <p>Keeps no state between runs.
 */
final class ApplyCommand implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String summary() {
        return "Validate targets and activate them through any entry.";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        return OperatorClient.options()
                .addOption(
                        CommandArguments.option(
                                "expected",
                                "VERSION",
                                "version that the change is based on; refused if another version"
                                        + " is active"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = CommandArguments.singleArgument(line, "FILE");
        String text = CommandArguments.readFile(file);
        TargetsFile.parse(file, text);
        String target =
                "/configuration?expected="
                        + CommandArguments.intOption(line, "expected", -1)
                        + "&file="
                        + URLEncoder.encode(file, StandardCharsets.UTF_8);
        try (OperatorClient client = OperatorClient.fromOptions(line)) {
            OperatorClient.Response response =
                    client.send("PUT", target, text.getBytes(StandardCharsets.UTF_8));
            output.println(response.text());
            return response.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
