package org.vanilladoor.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.vanilladoor.common.Finding;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.demo.Deployment;

/** Checks the parsing of targets files and the error messages for invalid ones. */
class TargetsFileTests {
    @Test
    void parsesTheTargetsOfEachExampleDeployment() throws Exception {
        for (Deployment deployment : Deployment.values()) {
            Targets targets = TargetsFile.parse("targets.toml", deployment.readTargets());
            assertThat(targets.teams()).hasSize(8);
        }
    }

    @Test
    void reportsEveryErrorWithItsLineAndKey() {
        String text =
                """
                [[class]]
                name = "chat"
                kind = "chatty"
                first_token_ms = 0

                [[class]]
                name = "chat"

                [[team]]
                name = "harbour"
                classes = ["chat", "readings"]
                weight = 3
                """;
        InvalidInputException thrown =
                assertThrows(InvalidInputException.class, () -> TargetsFile.parse("t.toml", text));
        assertThat(thrown.findings().stream().map(Finding::toString).toList())
                .containsExactly(
                        "t.toml:3: class[0].kind: is not one of the known values: chatty",
                        "t.toml:4: class[0].first_token_ms: is not an integer from 1 to"
                                + " 86400000: 0",
                        "t.toml:7: class[1].name: is defined more than once: chat",
                        "t.toml:11: team[0].classes: refers to an unknown class: readings",
                        "t.toml:12: team[0].weight: is not a known key");
    }

    @Test
    void reportsASyntaxErrorWithItsLine() {
        InvalidInputException thrown =
                assertThrows(
                        InvalidInputException.class,
                        () -> TargetsFile.parse("t.toml", "[[class]]\nname = \n"));
        assertThat(thrown.findings().get(0).line()).isEqualTo(2);
    }
}
