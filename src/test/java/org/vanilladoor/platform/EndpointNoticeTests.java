package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Endpoints that say in their responses that they are leaving, or want no requests for a while. */
@Timeout(30)
class EndpointNoticeTests extends GatewayFixture {
    private static final int REQUESTS = 20;

    @Test
    void anEndpointThatSaysThatItIsLeavingGetsNoFurtherRequests() throws IOException {
        ScriptedEndpoint leaving =
                endpoint(
                        "leaving",
                        received ->
                                ScriptedEndpoint.response(
                                        received, 200, "Server-Leaving: 1\r\n", "hi"));
        ScriptedEndpoint other =
                endpoint("other", r -> ScriptedEndpoint.response(r, 200, "", "hi"));
        for (int number = 0; number < REQUESTS; number++) {
            String response = call("GET", "/safe/x", "");
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).doesNotContain("Server-Leaving");
        }
        assertThat(leaving.received().size()).isAtMost(1);
        assertThat(other.received().size()).isAtLeast(REQUESTS - 1);
    }

    @Test
    void aRequestForTheOnlyEndpointThatIsLeavingIsRefusedAtOnce() throws IOException {
        endpoint("e", r -> ScriptedEndpoint.response(r, 200, "Server-Leaving: 1\r\n", "hi"));
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 200");
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void aRefusalThatSaysThatItsEndpointIsLeavingCountsToo() throws IOException {
        ScriptedEndpoint leaving =
                endpoint("leaving", received -> refusal(received, "Server-Leaving: 1\r\n"));
        for (int number = 0; number < REQUESTS; number++) {
            call("GET", "/safe/x", "");
        }
        assertThat(leaving.received()).hasSize(1);
    }

    @Test
    void anEndpointGetsNothingForTheTimeThatItsRefusalStates() throws IOException {
        ScriptedEndpoint paused =
                endpoint("paused", received -> refusal(received, "Retry-After: 9.5\r\n"));
        ScriptedEndpoint other =
                endpoint("other", r -> ScriptedEndpoint.response(r, 200, "", "hi"));
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 200");
        }
        assertThat(paused.received().size()).isAtMost(1);
        assertThat(other.received()).hasSize(REQUESTS);
    }

    @Test
    void aCallerIsToldWhenTheOnlyEndpointWantsRequestsAgain() throws IOException {
        ScriptedEndpoint paused =
                endpoint("paused", received -> refusal(received, "Retry-After: 9.5\r\n"));
        call("GET", "/safe/x", "");
        String response = call("GET", "/safe/x", "");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).containsMatch("Retry-After: [89]\\.");
        assertThat(paused.received()).hasSize(1);
    }

    @Test
    void aPrefillEngineGetsNothingForTheTimeThatItsRefusalStates() throws IOException {
        ScriptedEndpoint paused =
                endpoint(
                        "paused",
                        EngineRole.PREFILL,
                        received -> refusal(received, "Retry-After: 9.5\r\n"));
        endpoint("decode", r -> ScriptedEndpoint.response(r, 200, "", "hi"));
        for (int number = 0; number < 3; number++) {
            send("POST", "/safe/x", "body", "secret", "Vanilladoor-Token-Count: 5000,10\r\n");
        }
        assertThat(paused.received()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"soon", "-5", "NaN", "", "Fri, 31 Dec 1999 23:59:59 GMT"})
    void aTimeThatCannotBeReadIsIgnored(String time) throws IOException {
        ScriptedEndpoint endpoint =
                endpoint("e", received -> refusal(received, "Retry-After: " + time + "\r\n"));
        call("GET", "/safe/x", "");
        call("GET", "/safe/x", "");
        assertThat(endpoint.received().size()).isAtLeast(2);
    }

    private static Answer refusal(Received received, String headers) {
        String text = ScriptedEndpoint.refusal(received, 503).text();
        return new Answer(
                text.replace("Vanilladoor-Not-Run", headers + "Vanilladoor-Not-Run"), End.KEEP);
    }
}
