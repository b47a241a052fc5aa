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

/** Tests the commands that start the serving process, {@code serve} and {@code warm-up}. */
class ServeCommandTests {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    @Test
    void everyInvalidSettingIsNamedAndNothingStarts(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("local.toml");
        Files.writeString(file, "node = \"n\"\nzone = 3\n[listen]\nfront = \"nowhere\"\n");
        assertThat(run("serve", "--settings", file.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(errors()).contains("local.toml:2: zone");
        assertThat(errors()).contains("listen.front");
        assertThat(errors()).contains("platform.addr");
    }

    @Test
    void missingSettingsFileIsNamed() {
        assertThat(run("serve", "--settings", "nowhere.toml")).isEqualTo(ExitCode.INVALID);
        assertThat(errors()).contains("No such file: nowhere.toml");
    }

    @Test
    void warmUpStartsServesAndStops() {
        assertThat(run("warm-up")).isEqualTo(ExitCode.OK);
        String output = mOutput.toString(StandardCharsets.UTF_8);
        assertThat(output).contains("plain 200");
        assertThat(output).contains("short prompt 200");
        assertThat(output).contains("long prompt 200");
        assertThat(output).contains("metrics 200");
    }

    private ExitCode run(String... arguments) {
        return Main.run(arguments, new PrintStream(mOutput), new PrintStream(mErrors));
    }

    private String errors() {
        return mErrors.toString(StandardCharsets.UTF_8);
    }
}
