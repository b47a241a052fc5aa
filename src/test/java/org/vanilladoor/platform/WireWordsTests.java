package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The operators' names stay inside the adapter. */
class WireWordsTests {
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "vanilladoor");
    private static final Pattern WIRE_NAMES =
            Pattern.compile(
                    "Vanilladoor-[A-Z]|/api/(objects|order|report|kv-|hold-)|slo_ms|api_keys"
                            + "|\"(zone|tenant|tenants|fence|phase|prefill|decode|spot)\"");

    @Test
    void noSourceOutsideTheAdapterSpellsAName() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> spelling =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.startsWith(SOURCES.resolve("platform")))
                            .filter(WireWordsTests::spellsAName)
                            .toList();
            assertThat(spelling).isEmpty();
        }
    }

    private static boolean spellsAName(Path file) {
        try {
            return WIRE_NAMES.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
