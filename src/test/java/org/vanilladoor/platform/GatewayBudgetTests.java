package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.gateway.LocalRetryBudgets;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Requests through a gateway that may repeat nothing. */
@Timeout(30)
class GatewayBudgetTests extends GatewayFixture {
    private static final String LONG_PROMPT = "Vanilladoor-Token-Count: 9000,2\r\n";

    @Override
    LocalRetryBudgets retries() {
        return LocalRetryBudgets.create(0, 0, 10_000);
    }

    @Test
    void aReadingThatWasRejectedCountsSoThatTheRunAfterItIsARepeat() throws Exception {
        endpoint(
                "reader",
                EngineRole.PREFILL,
                request -> ScriptedEndpoint.response(request, 421, "", ""));
        ScriptedEndpoint runner =
                endpoint(
                        "runner",
                        request -> ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\n\n"));
        String answer = send("POST", "/resume/x", "body", "secret", LONG_PROMPT);
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(runner.received()).isEmpty();
    }

    @Test
    void theFirstReadingThatIsAcceptedIsFree() throws Exception {
        endpoint(
                "reader",
                EngineRole.PREFILL,
                request -> ScriptedEndpoint.response(request, 200, "", "{\"kv_handle\":\"h1\"}"));
        endpoint(
                "runner",
                request -> ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\n\n"));
        assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                .startsWith("HTTP/1.1 200");
    }
}
