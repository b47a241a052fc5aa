package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Names of the operators' platform occur only in the package platform, the adapter to it. */
class WireWordsTests {
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "vanilladoor");
    private static final Pattern PLATFORM_NAMES =
            Pattern.compile(
                    "Vanilladoor-[A-Z]|/api/(objects|order|report|kv-|hold-)|slo_ms|api_keys"
                            + "|\"(zone|tenant|tenants|fence|phase|prefill|decode|spot)\"");

    @Test
    void noSourceOutsideTheAdapterContainsANameOfThePlatform() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> violations =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.startsWith(SOURCES.resolve("platform")))
                            .filter(WireWordsTests::containsPlatformName)
                            .toList();
            assertThat(violations).isEmpty();
        }
    }

    private static boolean containsPlatformName(Path file) {
        try {
            return PLATFORM_NAMES.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
