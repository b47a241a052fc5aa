package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * Guards against failures that operators of similar systems have met: responses that reach another
 * caller, sound streams that are cut, stalled ones that never end, and work that is given up
 * because its endpoint is silent for a while.
 */
class ForwardingHazardsTests extends GatewayFixture {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    @Test
    void aSecondResponseOnAReusedConnectionReachesNoOtherCaller() throws IOException {
        endpoint(
                "e",
                received -> {
                    Answer answer = ScriptedEndpoint.response(received, 200, "", body(received));
                    return new Answer(answer.text() + answer.text(), End.KEEP);
                });
        for (int caller = 0; caller < 20; caller++) {
            String response = exchange(requestOf("caller-" + caller));
            assertOwnResponseOrNone(response, "caller-" + caller);
        }
    }

    @Test
    void aSecondResponseThatArrivesLateReachesNoOtherCaller() throws IOException {
        StringBuilder late = new StringBuilder();
        endpoint(
                "e",
                received -> {
                    Answer answer = ScriptedEndpoint.response(received, 200, "", body(received));
                    String text = late + answer.text();
                    late.setLength(0);
                    late.append(answer.text());
                    return new Answer(text, End.KEEP);
                });
        for (int caller = 0; caller < 20; caller++) {
            String response = exchange(requestOf("caller-" + caller));
            assertOwnResponseOrNone(response, "caller-" + caller);
        }
    }

    @Test
    void aSlowStreamGoesOnUntilItsDeadline() throws IOException {
        String event = "data: a\n\n";
        String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
        endpoint("e", received -> slow(ScriptedEndpoint.head(received, 200) + CHUNKED, chunk));
        String response = call("POST", "/chat/x", "body");
        assertThat(response.split(event, -1).length - 1).isAtLeast(5);
        assertThat(response).doesNotContain("\r\n0\r\n");
    }

    @Test
    void aStreamThatSendsAByteNowAndThenEndsAtItsDeadline() throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received ->
                                slow(ScriptedEndpoint.head(received, 200) + CHUNKED, "1\r\nx\r\n"));
        assertThat(call("POST", "/chat/x", "body")).startsWith("HTTP/1.1 504");
        waitUntil(() -> endpoint.connectionsClosedByPeer() == 1);
    }

    @Test
    void workAtAnEndpointWhoseEntryLapsesIsNeitherGivenUpNorStartedElsewhere() throws IOException {
        ScriptedEndpoint other =
                endpoint("f", received -> ScriptedEndpoint.response(received, 200, "", "other"));
        ScriptedEndpoint silent =
                endpoint(
                        "e",
                        received -> {
                            removeEntry("e");
                            removeEntry("f");
                            return ScriptedEndpoint.response(received, 200, "", "own");
                        });
        removeEntry("f");
        assertThat(call("POST", "/once/x", "body")).endsWith("own");
        assertThat(silent.received()).hasSize(1);
        assertThat(other.received()).isEmpty();
    }

    private static Answer slow(String start, String repeated) {
        return new Answer(start, End.ENDLESS_SLOW, repeated);
    }

    private static byte[] requestOf(String caller) {
        String text =
                new String(
                        request("POST", "/once/x", "body", "secret", ""),
                        StandardCharsets.US_ASCII);
        return text.replace("id-1", caller).getBytes(StandardCharsets.US_ASCII);
    }

    private static String body(Received received) {
        return "for " + received.header("vanilladoor-attempt-id") + ".";
    }

    /**
     * A caller may get an unknown outcome, since its request may have run, but no other response.
     */
    private static void assertOwnResponseOrNone(String response, String caller) {
        if (!response.startsWith("HTTP/1.1 502")) {
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).endsWith("for " + caller + ".");
        }
    }
}
