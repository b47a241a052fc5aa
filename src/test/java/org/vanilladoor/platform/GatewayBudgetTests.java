package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.gateway.LocalRetryBudgets;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Requests through a gateway whose retry budget is zero. */
@Timeout(30)
class GatewayBudgetTests extends GatewayFixture {
    private static final String LONG_PROMPT = "Vanilladoor-Token-Count: 9000,2\r\n";

    @Override
    LocalRetryBudgets retryBudgets() {
        return LocalRetryBudgets.create(0, 0, 10_000, 0);
    }

    @Test
    void decodeAfterARejectedPrefillIsARetryAndIsRefusedWithoutBudget() throws Exception {
        endpoint(
                "prefill-engine",
                EngineRole.PREFILL,
                request -> ScriptedEndpoint.refusal(request, 421));
        ScriptedEndpoint decodeEngine =
                endpoint(
                        "decode-engine",
                        request -> ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\n\n"));
        String response = send("POST", "/resume/x", "body", "secret", LONG_PROMPT);
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(decodeEngine.received()).isEmpty();
    }

    @Test
    void aPromptIsNotPrefilledAgainWithoutBudgetWhenADecodeEngineIsUnreachable() throws Exception {
        ScriptedEndpoint prefillEngine = prefillEngine();
        for (String name : List.of("decode-1", "decode-2", "decode-3")) {
            endpoint(name, request -> new Answer("", End.CLOSE)).close();
        }
        assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                .startsWith("HTTP/1.1 503");
        assertThat(prefillCalls(prefillEngine)).isEqualTo(1);
    }

    @Test
    void aPromptIsNotPrefilledWhileEveryDecodeEngineRefusesConnections() throws Exception {
        ScriptedEndpoint prefillEngine = prefillEngine();
        endpoint("decode-1", request -> new Answer("", End.CLOSE)).close();
        send("POST", "/resume/x", "body", "secret", LONG_PROMPT);
        long prefillsBefore = prefillCalls(prefillEngine);
        assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                .startsWith("HTTP/1.1 503");
        assertThat(prefillCalls(prefillEngine)).isEqualTo(prefillsBefore);
    }

    @Test
    void aKvCacheIsFetchedByTheNextDecodeEngineWhenTheFirstOneIsUnreachable() throws Exception {
        ScriptedEndpoint prefillEngine = prefillEngine();
        for (String name : List.of("decode-1", "decode-2", "decode-3")) {
            endpoint(name, request -> new Answer("", End.CLOSE)).close();
        }
        ScriptedEndpoint reachable =
                endpoint(
                        "decode-4",
                        request -> ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\n\n"));
        for (int number = 0; number < 8; number++) {
            assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                    .startsWith("HTTP/1.1 200");
        }
        assertThat(prefillCalls(prefillEngine)).isEqualTo(8);
        for (Received run : reachable.received()) {
            assertThat(run.header("vanilladoor-kv-from"))
                    .isEqualTo(prefillEngine.address() + "/h1");
        }
    }

    private static long prefillCalls(ScriptedEndpoint engine) {
        return engine.received().stream()
                .filter(request -> request.header("vanilladoor-stage").equals("prefill"))
                .count();
    }

    @Test
    void decodeAfterASuccessfulPrefillNeedsNoRetryBudget() throws Exception {
        prefillEngine();
        endpoint(
                "decode-engine",
                request -> ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\n\n"));
        assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                .startsWith("HTTP/1.1 200");
    }
}
