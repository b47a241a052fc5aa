package org.vanilladoor.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and the exit codes of the command line. */
class MainTests {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
    @TempDir private Path mFolder;

    private ExitCode run(String... arguments) {
        return Main.run(
                arguments,
                new PrintStream(mOutput, true, StandardCharsets.UTF_8),
                new PrintStream(mErrors, true, StandardCharsets.UTF_8));
    }

    private String writeFile(String name, String text) throws IOException {
        return Files.writeString(mFolder.resolve(name), text).toString();
    }

    @Test
    void unknownCommandIsInvalidAndNamed() {
        assertThat(run("nonsense")).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString(StandardCharsets.UTF_8)).contains("nonsense");
    }

    @Test
    void everyCommandShowsItsHelp() {
        for (Command command : Main.commands()) {
            assertThat(run(command.name(), "--help")).isEqualTo(ExitCode.OK);
        }
    }

    @Test
    void missingRequiredOptionIsInvalidAndNamed() {
        assertThat(run("entry")).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString(StandardCharsets.UTF_8)).contains("settings");
    }

    @Test
    void missingFileIsInvalidAndNamed() {
        assertThat(run("check", "no-such-file.toml")).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString(StandardCharsets.UTF_8)).contains("no-such-file.toml");
    }

    @Test
    void everyExampleIsValid() throws IOException {
        for (String deployment : new String[] {"al-habsi", "etiket"}) {
            String folder = "examples/" + deployment + "/";
            assertThat(run("check", folder + "targets.toml")).isEqualTo(ExitCode.OK);
            assertThat(run("check", "--kind", "entry", folder + "entry-0.toml"))
                    .isEqualTo(ExitCode.OK);
            assertThat(run("check", "--kind", "stand-in", folder + "stand-in.toml"))
                    .isEqualTo(ExitCode.OK);
        }
    }

    @Test
    void everyInvalidSettingIsNamed() throws IOException {
        String settings =
                writeFile(
                        "entry.toml",
                        """
                        [entry]
                        name = "entry-0"
                        caller_address = "127.0.0.1"
                        peer_address = "127.0.0.1:99999"
                        operator_address = "127.0.0.1:8301"
                        system_credential = "short"

                        [limits]
                        drain_limit_ms = -1
                        """);
        assertThat(run("check", "--kind", "entry", settings)).isEqualTo(ExitCode.INVALID);
        String errors = mErrors.toString(StandardCharsets.UTF_8);
        for (String key :
                new String[] {
                    "failure_domain",
                    "caller_address",
                    "peer_address",
                    "system_credential",
                    "platform.address",
                    "drain_limit_ms"
                }) {
            assertThat(errors).contains(key);
        }
    }

    @Test
    void traceWithMalformedLineIsInvalidAndTheLineIsNamed() throws IOException {
        String trace = writeFile("trace.jsonl", "{\"at\":5,\"kind\":\"CALL\"}\nnonsense\n");
        assertThat(run("replay", trace)).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString(StandardCharsets.UTF_8)).contains("trace.jsonl:2");
    }
}
