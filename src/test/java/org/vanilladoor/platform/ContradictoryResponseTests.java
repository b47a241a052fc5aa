package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Responses whose head contradicts itself, or whose status promises what no endpoint stated. */
@Timeout(60)
class ContradictoryResponseTests extends GatewayFixture {
    private static final String IDENTIFIER = "Vanilladoor-Attempt-Id: id-1;";
    private static final String NOT_RUN = "Vanilladoor-Not-Run: 1;";
    private static final String SIGNATURE = "Vanilladoor-Stamp: proof;";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "200;" + IDENTIFIER + NOT_RUN,
                "200;" + IDENTIFIER + NOT_RUN + SIGNATURE,
                "404;" + IDENTIFIER + NOT_RUN,
                "500;" + IDENTIFIER + NOT_RUN,
                "504;" + IDENTIFIER + NOT_RUN,
                "503;" + IDENTIFIER + NOT_RUN + SIGNATURE,
                "429;" + IDENTIFIER + NOT_RUN + SIGNATURE,
                "421;" + IDENTIFIER + SIGNATURE,
                "503;" + IDENTIFIER + NOT_RUN + NOT_RUN,
                "503;" + IDENTIFIER + IDENTIFIER + NOT_RUN,
                "503;" + IDENTIFIER + "Vanilladoor-Attempt-Id: other;" + NOT_RUN,
                "503;Vanilladoor-Attempt-Id: other;" + IDENTIFIER + NOT_RUN,
                "200;" + IDENTIFIER + "vanilladoor-attempt-id: id-1;" + SIGNATURE,
                "200;" + IDENTIFIER + SIGNATURE + "Vanilladoor-Stamp: other;",
                "503;" + NOT_RUN,
                "421;" + NOT_RUN,
                "421;",
            })
    void aHeadThatContradictsItselfIsNeitherARefusalNorAnAnswer(String head) throws IOException {
        for (String name : new String[] {"e", "f"}) {
            endpoint(name, received -> answer(head));
        }
        for (String route : new String[] {"/once/x", "/chat/x"}) {
            int sentBefore = sent();
            assertWithMessage(route).that(call("POST", route, "body")).startsWith("HTTP/1.1 502");
            assertWithMessage(route).that(sent() - sentBefore).isEqualTo(1);
        }
        mEndpoints.forEach(endpoint -> waitUntil(endpoint::isEveryConnectionClosed));
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 421, 429, 503})
    void aStatementThatTheRequestWasNotRunIsTrustedWithEachStatusThatCanMakeIt(int status)
            throws IOException {
        endpoint("e", received -> answer(status + ";" + IDENTIFIER + NOT_RUN));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 503");
    }

    @Test
    void aMisdirectedRequestIsSentOnIfTheResponseHasItsIdentifier() throws IOException {
        endpoint("e", received -> answer("421;" + IDENTIFIER));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 503");
    }

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

    private int sent() {
        return mEndpoints.stream().mapToInt(endpoint -> endpoint.received().size()).sum();
    }

    /** Returns a response with a status and the headers that follow it, each with a semicolon. */
    private static Answer answer(String head) {
        int end = head.indexOf(';');
        return new Answer(
                "HTTP/1.1 "
                        + head.substring(0, end)
                        + " Status\r\n"
                        + head.substring(end + 1).replace(";", "\r\n")
                        + "Content-Length: 0\r\n\r\n",
                End.KEEP);
    }
}
