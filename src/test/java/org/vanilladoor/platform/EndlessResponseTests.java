package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * Guards against an endpoint whose response never ends: it must not fill the memory, nor hold the
 * caller until its deadline, and the caller must not be told that its request has not run.
 */
class EndlessResponseTests extends GatewayFixture {
    private static final String KILOBYTE = "x".repeat(1_024);
    private static final String CHUNK = "400\r\n" + KILOBYTE + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    @Test
    void aHeaderLineWithoutEndIsABrokenResponse() throws IOException {
        assertOutcomeUnknown("/once/x", received -> Answer.endless(head(received), KILOBYTE));
    }

    @Test
    void headersWithoutEndAreABrokenResponse() throws IOException {
        assertOutcomeUnknown("/once/x", received -> Answer.endless(head(received), "A: b\r\n"));
    }

    @Test
    void interimResponsesWithoutEndAreABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/once/x", received -> Answer.endless("", "HTTP/1.1 102 Processing\r\n\r\n"));
    }

    @Test
    void chunksOfOneByteWithoutEndAreABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/once/x",
                received -> Answer.endless(head(received) + CHUNKED, "1\r\nx\r\n".repeat(1_024)));
    }

    @Test
    void aBodyWithoutEndIsABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/once/x", received -> Answer.endless(head(received) + CHUNKED, CHUNK));
    }

    @Test
    void aChunkExtensionWithoutEndIsABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/once/x", received -> Answer.endless(head(received) + CHUNKED + "1;", KILOBYTE));
    }

    @Test
    void trailersWithoutEndAreABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/once/x",
                received -> Answer.endless(head(received) + CHUNKED + "0\r\n", "A: b\r\n"));
    }

    @Test
    void anEventWithoutEndIsABrokenResponse() throws IOException {
        assertOutcomeUnknown(
                "/chat/x", received -> Answer.endless(head(received) + CHUNKED, CHUNK));
    }

    @Test
    void bytesThatAreNoResponseAreABrokenResponse() throws IOException {
        assertOutcomeUnknown("/once/x", received -> Answer.endless("", KILOBYTE));
    }

    @Test
    void aSafeRequestGoesToAnotherEndpointAfterABodyWithoutEnd() throws IOException {
        Function<Received, Answer> endlessAtFirst =
                received ->
                        mEndpoints.stream().mapToInt(each -> each.received().size()).sum() == 1
                                ? Answer.endless(head(received) + CHUNKED, CHUNK)
                                : ScriptedEndpoint.response(received, 200, "", "fine");
        endpoint("e-1", endlessAtFirst);
        endpoint("e-2", endlessAtFirst);
        assertThat(call("POST", "/safe/x", "body")).endsWith("fine");
    }

    @Test
    void aPrefillResponseWithoutEndLetsAnotherEngineReadThePrompt() throws IOException {
        endpoint(
                "prefill",
                EngineRole.PREFILL,
                received -> Answer.endless(head(received) + CHUNKED, CHUNK));
        endpoint(
                "decode",
                received ->
                        ScriptedEndpoint.streamResponse(
                                received, ScriptedEndpoint.End.KEEP, "id: 1\ndata: a\n\n"));
        String headers = "Vanilladoor-Token-Count: 5000,1\r\nVanilladoor-Prompt-Prefix: a:5000\r\n";
        assertThat(events(send("POST", "/chat/x", "body", "secret", headers)))
                .isEqualTo("id: 1\ndata: a\n\n");
    }

    private void assertOutcomeUnknown(String path, Function<Received, Answer> script)
            throws IOException {
        ScriptedEndpoint endpoint = endpoint("e-1", script);
        assertThat(call("POST", path, "body")).startsWith("HTTP/1.1 502");
        waitUntil(() -> endpoint.connectionsClosedByPeer() == 1);
        assertThat(endpoint.received()).hasSize(1);
    }

    private static String head(Received received) {
        return ScriptedEndpoint.head(received, 200);
    }
}
