package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Endpoints that send part of an earlier response once more on a connection that is kept. */
@Timeout(120)
class StrayResponseBytesTests extends GatewayFixture {
    private static final String FAILURE = "the endpoint failed";

    @ParameterizedTest
    @EnumSource(Arrival.class)
    void noRemainderOfASuccessTurnsALaterFailureIntoASuccess(Arrival arrival) throws IOException {
        String success = head("200 OK", "earlier", "Vanilladoor-Stamp: earlier\r\n");
        for (int length = 1; length <= success.length(); length++) {
            String response = responseAfterRemainder(arrival, success.substring(0, length));
            assertWithMessage("%s of %s bytes", arrival, length)
                    .that(statusOf(response))
                    .isIn(arrival.possibleStatuses());
        }
    }

    @ParameterizedTest
    @EnumSource(Arrival.class)
    void noRemainderOfARefusalTurnsALaterFailureIntoARefusal(Arrival arrival) throws IOException {
        String refusal =
                head("503 Service Unavailable", "earlier", "Vanilladoor-Not-Run: 1\r\nX-A: b\r\n")
                        .replace("Vanilladoor-Attempt-Id: earlier\r\n", "");
        for (int length = 1; length <= refusal.length(); length++) {
            String response = responseAfterRemainder(arrival, refusal.substring(0, length));
            assertWithMessage("%s of %s bytes", arrival, length)
                    .that(statusOf(response))
                    .isIn(arrival.possibleStatuses());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Arrival.class,
            names = {"WITH_THE_RESPONSE", "WHILE_IDLE"})
    void bytesThatPrecedeTheNextRequestCostItsCallerNothing(Arrival arrival) throws IOException {
        String remainder = head("200 OK", "earlier", "X-Cut: in the midd");
        String whole = remainder + "\r\nContent-Length: 0\r\n\r\n";
        for (String stray : List.of("\r\n", "HTTP/1.1 200 OK", remainder, whole)) {
            assertWithMessage(stray).that(responseAfterRemainder(arrival, stray)).endsWith(FAILURE);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1  500", "HTTP/1.1\t500"})
    void aRemainderBeforeAnUnusualStatusLineIsRecognized(String statusLine) throws IOException {
        endpoint(
                "e",
                received -> {
                    String failure = Arrival.failure(received).text();
                    return new Answer(
                            "HTTP/1.1 200 OK\r\nX-Cut: a"
                                    + failure.replace("HTTP/1.1 500", statusLine),
                            End.KEEP);
                });
        assertThat(statusOf(exchange(requestOf("first")))).isEqualTo("502");
    }

    @Test
    void anEndpointThatMixedUpItsResponsesGetsANewConnectionForEachRequest() throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received ->
                                received.header("vanilladoor-attempt-id").equals("mixed")
                                        ? Arrival.WITH_THE_RESPONSE.first(received, "HTTP/1.1 2")
                                        : ScriptedEndpoint.response(received, 200, "", "done"));
        exchange(requestOf("a"));
        exchange(requestOf("b"));
        assertThat(endpoint.connectionCount()).isEqualTo(1);
        exchange(requestOf("mixed"));
        exchange(requestOf("c"));
        exchange(requestOf("d"));
        assertThat(endpoint.connectionCount()).isEqualTo(3);
    }

    @Test
    void anEndpointThatSentTheResponseToAnotherRequestGetsNewConnections() throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received ->
                                received.header("vanilladoor-attempt-id").equals("mixed")
                                        ? new Answer(
                                                ScriptedEndpoint.response(received, 200, "", "done")
                                                        .text()
                                                        .replace(": mixed", ": other"),
                                                End.KEEP)
                                        : ScriptedEndpoint.response(received, 200, "", "done"));
        exchange(requestOf("mixed"));
        exchange(requestOf("a"));
        exchange(requestOf("b"));
        assertThat(endpoint.connectionCount()).isEqualTo(3);
    }

    @Test
    void aSuccessWhoseBodyHasTwoLengthsIsNotForwarded() throws IOException {
        endpoint(
                "e",
                received ->
                        ScriptedEndpoint.response(received, 200, "Content-Length: 2\r\n", "whole"));
        assertWithMessage("two lengths")
                .that(statusOf(exchange(requestOf("first"))))
                .isEqualTo("502");
    }

    /** Returns the response to a request that fails on a connection with a remainder. */
    private String responseAfterRemainder(Arrival arrival, String remainder) throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received ->
                                received.header("vanilladoor-attempt-id").equals("first")
                                        ? arrival.first(received, remainder)
                                        : arrival.second(received, remainder));
        exchange(requestOf("first"));
        if (arrival == Arrival.WHILE_IDLE) {
            endpoint.awaitStray();
        }
        String response = exchange(requestOf("second"));
        endpoint.close();
        return response;
    }

    private static String head(String status, String attempt, String headers) {
        return "HTTP/1.1 "
                + status
                + "\r\nContent-Type: text/plain\r\nVanilladoor-Attempt-Id: "
                + attempt
                + "\r\n"
                + headers;
    }

    private static String statusOf(String response) {
        return response.isEmpty() ? "none" : response.substring(9, 12);
    }

    private static byte[] requestOf(String attempt) {
        String text =
                new String(
                        request("POST", "/once/x", "body", "secret", ""),
                        StandardCharsets.US_ASCII);
        return text.replace("id-1", attempt).getBytes(StandardCharsets.US_ASCII);
    }

    /** When the remainder arrives at the gateway. */
    private enum Arrival {
        WITH_THE_RESPONSE {
            @Override
            Answer first(Received received, String remainder) {
                return new Answer(success(received).text() + remainder, End.KEEP);
            }
        },
        WHILE_IDLE {
            @Override
            Answer first(Received received, String remainder) {
                return success(received).withStray(remainder);
            }
        },
        AFTER_THE_NEXT_REQUEST {
            @Override
            List<String> possibleStatuses() {
                // Which response is its own, and whether there is another, can't be known.
                return List.of("500", "502");
            }

            @Override
            Answer second(Received received, String remainder) {
                return new Answer(remainder + failure(received).text(), End.KEEP);
            }
        };

        List<String> possibleStatuses() {
            return List.of("500");
        }

        Answer first(Received received, String remainder) {
            return success(received);
        }

        Answer second(Received received, String remainder) {
            return failure(received);
        }

        private static Answer success(Received received) {
            return ScriptedEndpoint.response(received, 200, "", "done");
        }

        private static Answer failure(Received received) {
            return ScriptedEndpoint.response(received, 500, "", FAILURE);
        }
    }
}
