package org.vanilladoor.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.common.Finding;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.common.Json;
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
    void aTeamMayHaveAnAllowance() {
        Targets targets =
                TargetsFile.parse(
                        "t.toml",
                        """
                        [[team]]
                        name = "tokens"
                        rate_per_second = 29000
                        burst = 40000
                        unit = "tokens"
                        plain_tokens = 210
                        [[team]]
                        name = "requests"
                        rate_per_second = 0.5
                        [[team]]
                        name = "free"
                        rate_per_second = 0
                        """);
        assertThat(targets.team("tokens").orElseThrow().allowance())
                .isEqualTo(new Allowance(AllowanceUnit.TOKENS, 29_000, 40_000, 210));
        assertThat(targets.team("requests").orElseThrow().allowance())
                .isEqualTo(new Allowance(AllowanceUnit.REQUESTS, 0.5, 0.5, 200));
        assertThat(targets.team("free").orElseThrow().allowance()).isNull();
    }

    /** The object of a team without an allowance stays as it was, and earlier ones are read. */
    @Test
    void anAllowanceIsStoredOnlyIfThereIsOne() {
        Team free = new Team("free", 1, List.of("chat"), true);
        String stored = new String(Json.write(free), StandardCharsets.UTF_8);
        assertThat(stored).doesNotContain("allowance");
        assertThat(Json.read(Json.write(free), Team.class)).isEqualTo(free);
        Team limited =
                new Team(
                        "limited",
                        1,
                        List.of("chat"),
                        true,
                        new Allowance(AllowanceUnit.TOKENS, 5, 6, 7));
        assertThat(Json.read(Json.write(limited), Team.class)).isEqualTo(limited);
    }

    @Test
    void everyInvalidFigureOfAnAllowanceIsReportedInItsPlace() {
        String text =
                """
                [[team]]
                name = "a"
                rate_per_second = -1
                burst = "x"
                unit = "bananas"
                plain_tokens = -2
                [[team]]
                name = "b"
                burst = 5
                """;
        InvalidInputException thrown =
                assertThrows(InvalidInputException.class, () -> TargetsFile.parse("t.toml", text));
        assertThat(thrown.findings().stream().map(each -> each.line() + " " + each.key()).toList())
                .containsExactly(
                        "3 team[0].rate_per_second",
                        "4 team[0].burst",
                        "5 team[0].unit",
                        "6 team[0].plain_tokens",
                        "9 team[1].burst");
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
