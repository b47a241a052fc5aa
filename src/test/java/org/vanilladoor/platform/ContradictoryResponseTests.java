package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses whose status promises what their endpoint did not state. */
@Timeout(60)
class ContradictoryResponseTests extends GatewayFixture {
    @ParameterizedTest
    @CsvSource({
        "408, /once/x",
        "408, /chat/x",
        "429, /once/x",
        "429, /chat/x",
        "503, /once/x",
        "503, /chat/x",
    })
    void aStatusThatPromisesThatNothingRanDoesNotReachACallerWhoseEndpointDidNotSaySo(
            int status, String path) throws IOException {
        endpoint("e", received -> ScriptedEndpoint.response(received, status, "", "busy"));
        assertThat(call("POST", path, "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aSignedFailureOfAnIdempotentRequestIsForwardedUnchanged() throws IOException {
        endpoint("e", received -> ScriptedEndpoint.response(received, 429, "", "busy"));
        String response = call("GET", "/safe/x", "");
        assertThat(response).startsWith("HTTP/1.1 429");
        assertThat(response).contains("Vanilladoor-Stamp: proof");
        assertThat(response).endsWith("busy");
    }
}
