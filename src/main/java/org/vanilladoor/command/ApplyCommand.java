package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.configuration.TargetsFile;

/**
 * Puts operators' targets in force.
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
        return "Check targets and put them in force through any entry.";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        return OperatorClient.options()
                .addOption(
                        CommandFiles.optional(
                                "expected",
                                "VERSION",
                                "version that the change was made for; refused if another one is"
                                        + " in force"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = CommandFiles.onlyArgument(line, "FILE");
        String text = CommandFiles.read(file);
        TargetsFile.parse(file, text);
        String target =
                "/configuration?expected="
                        + CommandFiles.number(line, "expected", -1)
                        + "&file="
                        + URLEncoder.encode(file, StandardCharsets.UTF_8);
        try (OperatorClient client = OperatorClient.of(line)) {
            OperatorClient.Answer answer =
                    client.call("PUT", target, text.getBytes(StandardCharsets.UTF_8));
            output.println(answer.text());
            return answer.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
