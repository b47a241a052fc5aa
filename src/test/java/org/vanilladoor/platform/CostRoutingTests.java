package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** The choice of endpoints by what their responses say and how long they take. */
class CostRoutingTests extends GatewayFixture {
    private static final String PROMPT_HEADERS =
            "Vanilladoor-Model: m\r\nVanilladoor-Token-Count: 2000,8\r\n"
                    + "Vanilladoor-Prompt-Prefix: 5c1e:1500,91bd:500\r\n";

    /** Guards against as much work for an endpoint that states that it is slow. */
    @Test
    void aSlowPlainEndpointGetsFewerRequests() throws IOException {
        ScriptedEndpoint fast = endpoint("fast", request -> plainAnswer(request, 100, 5));
        ScriptedEndpoint slow = endpoint("slow", request -> plainAnswer(request, 400, 20));
        for (int count = 0; count < 40; count++) {
            assertThat(call("POST", "/safe/x", "body")).contains("200");
        }
        assertThat(slow.received().size()).isLessThan(12);
        assertThat(fast.received().size() + slow.received().size()).isEqualTo(40);
    }

    /** Guards against a request that is lost on its way from a prefill engine to its run. */
    @Test
    void aLongPromptIsServedByAServiceWhoseEnginesStateAFactor() throws IOException {
        ScriptedEndpoint reader =
                endpoint("reader", EngineRole.PREFILL, CostRoutingTests::prefillAnswer);
        ScriptedEndpoint runner =
                endpoint("runner", EngineRole.DECODE, CostRoutingTests::streamAnswer);
        for (int count = 0; count < 10; count++) {
            String response = send("POST", "/chat/x", "body", "secret", PROMPT_HEADERS);
            assertThat(events(response)).contains("data: 2");
        }
        assertThat(runner.received()).hasSize(10);
        assertThat(reader.received().size()).isAtMost(10);
    }

    /** Guards against a rejected request because of a figure that only improves an estimate. */
    @Test
    void aHintThatIsNoNumberIsIgnored() throws IOException {
        endpoint("runner", EngineRole.DECODE, CostRoutingTests::streamAnswer);
        for (String hint : new String[] {"many", "-7", "1e400", "NaN", ""}) {
            String headers = PROMPT_HEADERS + "Vanilladoor-Length-Hint: " + hint + "\r\n";
            assertThat(send("POST", "/chat/x", "body", "secret", headers)).contains("data: 2");
        }
    }

    private static Answer plainAnswer(Received request, int slowdown, long millis) {
        pause(millis);
        return ScriptedEndpoint.response(request, 200, load(slowdown), "done");
    }

    private static Answer prefillAnswer(Received request) {
        return ScriptedEndpoint.response(request, 200, load(100), "{\"kv_handle\":\"h1\"}");
    }

    private static Answer streamAnswer(Received request) {
        Answer answer =
                ScriptedEndpoint.streamResponse(
                        request, End.KEEP, "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n");
        return new Answer(
                answer.text().replace("Content-Type", load(100) + "Content-Type"), End.KEEP);
    }

    private static String load(int slowdown) {
        return "Vanilladoor-Load: 0,0,6," + slowdown + "\r\n";
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
