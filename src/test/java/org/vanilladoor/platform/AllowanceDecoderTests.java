package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.PortRange;
import org.vanilladoor.route.ServingConfiguration;

/** Decoding of the teams' allowances, their tolerance and the ports of the exchange. */
class AllowanceDecoderTests {
    private static final Allowance IN_FORCE = new Allowance(AllowanceUnit.TOKENS, 50, 60, 7);

    @Test
    void anAllowanceIsDecodedWithItsTeam() {
        ServingConfiguration configuration =
                decode(
                        "\"unit\":\"tokens\",\"plain_tokens\":210,\"rate_per_s\":1669746,"
                                + "\"burst\":1669746.5",
                        "");
        Allowance expected = new Allowance(AllowanceUnit.TOKENS, 1_669_746, 1_669_746.5, 210);
        assertThat(configuration.team("k").orElseThrow().allowance())
                .isEqualTo(Optional.of(expected));
        assertThat(configuration.allowances()).containsExactly("t", expected);
    }

    @Test
    void requestsAreTheUnitUnlessTheEntryStatesAnother() {
        Allowance allowance = decode("\"rate_per_s\":3,\"burst\":9", "").allowances().get("t");
        assertThat(allowance).isEqualTo(new Allowance(AllowanceUnit.REQUESTS, 3, 9, 200));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"priority\":1",
                "\"rate_per_s\":0,\"burst\":0",
                "\"rate_per_s\":0,\"burst\":9,\"unit\":\"tokens\"",
                "\"rate_per_s\":null"
            })
    void zeroOrNoRateIsNoLimit(String fields) {
        assertThat(decode(fields, "").allowances()).isEmpty();
    }

    /** An entry without figures must not keep the limit that it had before. */
    @Test
    void aRemovedLimitIsNoLimit() {
        assertThat(decodeAfter("\"priority\":1", "", Optional.of(inForce())).allowances())
                .isEmpty();
    }

    /** The bound must also hold if the operators mean that no burst is allowed. */
    @Test
    void aBurstThatIsNotStatedIsWithinTheExcess() {
        Allowance allowance = decode("\"rate_per_s\":1000", "").allowances().get("t");
        double bound =
                AllowanceTolerance.standard()
                        .bound(new Allowance(AllowanceUnit.REQUESTS, 1000, 0, 0));
        assertThat(8 * 1000 + allowance.burst()).isLessThan(bound);
        assertThat(allowance.burst()).isGreaterThan(0.0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"plain_tokens\":5 | \"plain_tokens\":6,\"limits\":{\"plain_tokens\":7}, | 5",
                "\"plain_tokens\":0 | \"plain_tokens\":6,\"limits\":{\"plain_tokens\":7}, | 6",
                "\"priority\":1 | \"plain_tokens\":6,\"limits\":{\"plain_tokens\":7}, | 6",
                "\"priority\":1 | \"limits\":{\"plain_tokens\":7}, | 7",
                "\"priority\":1 | \"limits\":{}, | 200"
            })
    void plainTokensAreThoseOfTheClosestPlace(String fields, String top, long expected) {
        assertThat(decode(fields + ",\"rate_per_s\":1", top).allowances().get("t").plainTokens())
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"rate_per_s\":-1,\"burst\":3",
                "\"rate_per_s\":\"100\"",
                "\"rate_per_s\":1e999",
                "\"rate_per_s\":{},\"burst\":3",
                "\"rate_per_s\":5,\"burst\":-0.5",
                "\"rate_per_s\":5,\"burst\":true",
                "\"rate_per_s\":5,\"unit\":\"bananas\"",
                "\"rate_per_s\":5,\"unit\":7",
                "\"rate_per_s\":5,\"plain_tokens\":-7",
                "\"rate_per_s\":0,\"burst\":-7"
            })
    void anUnreadableFigureKeepsTheAllowanceInForce(String fields) {
        assertThat(decode(fields, "").allowances()).isEmpty();
        assertThat(decode(fields, "").team("k").orElseThrow().allowance())
                .isEqualTo(Optional.empty());
        ServingConfiguration configuration = decodeAfter(fields, "", Optional.of(inForce()));
        assertThat(configuration.allowances()).containsExactly("t", IN_FORCE);
        assertThat(configuration.team("k").orElseThrow().allowance())
                .isEqualTo(Optional.of(IN_FORCE));
    }

    @Test
    void theToleranceIsReadFromTheBounds() {
        assertThat(
                        settings(
                                        "",
                                        "quota_window_s = 4\nquota_excess = 0.2\n"
                                                + "quota_slack = 120000")
                                .allowanceTolerance())
                .isEqualTo(new AllowanceTolerance(4_000, 0.2, 120_000));
        assertThat(settings("", "").allowanceTolerance())
                .isEqualTo(new AllowanceTolerance(8_000, 0.1, 0));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "port_range = [20000, 20099] | 20000 | 20099",
                "port_range = \"20000-20099\" | 20000 | 20099",
                "priority = 3 | 0 | 0",
                "port_range = 7 | 0 | 0",
                "port_range = [5, 4] | 0 | 0",
                "port_range = [\"a\", {}] | 0 | 0"
            })
    void anUnreadableRangeOfPortsStandsForAnyPort(String line, int first, int last) {
        assertThat(settings(line, "").exchangePorts()).isEqualTo(new PortRange(first, last));
    }

    @Test
    void theRangeOfPortsIsAlsoReadFromTheBounds() {
        assertThat(settings("", "port_range = [20000, 20099]").exchangePorts())
                .isEqualTo(new PortRange(20_000, 20_099));
    }

    private static PlatformSettings settings(String line, String bounds) {
        return PlatformSettings.parse(
                "local.toml",
                line
                        + "\nnode = \"n\"\nzone = \"z\"\n[listen]\nfront = \"10.1.0.7:8405\"\n"
                        + "ready = \"10.1.0.7:8406\"\n[platform]\naddr = \"10.200.1.7:8408\"\n"
                        + "[bounds]\n"
                        + bounds
                        + "\n");
    }

    private static ServingConfiguration inForce() {
        return decode("\"unit\":\"tokens\",\"rate_per_s\":50,\"burst\":60,\"plain_tokens\":7", "");
    }

    private static ServingConfiguration decode(String fields, String top) {
        return decodeAfter(fields, top, Optional.empty());
    }

    private static ServingConfiguration decodeAfter(
            String fields, String top, Optional<ServingConfiguration> inForce) {
        String text =
                "{\"version\":7,"
                        + top
                        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
                        + fields
                        + "}]}";
        JsonNode content = Json.read(text.getBytes(StandardCharsets.UTF_8), JsonNode.class);
        return ConfigurationDecoder.decode(content, inForce);
    }
}
