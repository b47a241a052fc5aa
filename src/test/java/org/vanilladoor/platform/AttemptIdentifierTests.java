package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers whose attempt identifier looks like another response when an endpoint echoes it. */
@Timeout(60)
class AttemptIdentifierTests extends GatewayFixture {
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "x HTTP/1.1 500 y", "\u00e9", "\u0001"})
    void noIdentifierOfACallerMakesItsEndpointLookFaulty(String identifier) throws IOException {
        ScriptedEndpoint endpoint =
                endpoint("e", received -> ScriptedEndpoint.response(received, 200, "", "done"));
        exchange(requestOf("before"));
        assertWithMessage("status of the request")
                .that(exchange(requestOf(identifier)).substring(9, 12))
                .isAnyOf("200", "400");
        exchange(requestOf("after"));
        exchange(requestOf("later"));
        assertWithMessage("connections").that(endpoint.connectionCount()).isEqualTo(1);
    }

    private static byte[] requestOf(String identifier) {
        String text =
                new String(
                        request("POST", "/once/x", "body", "secret", ""),
                        StandardCharsets.ISO_8859_1);
        return text.replace("id-1", identifier).getBytes(StandardCharsets.ISO_8859_1);
    }
}
