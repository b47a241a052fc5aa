package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Requests through a gateway to correct and faulty endpoints, over real connections. */
@Timeout(30)
class GatewayTests extends GatewayFixture {
    private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";

    @Test
    void aCompleteResponseIsForwardedUnchanged() throws Exception {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        request -> ScriptedEndpoint.response(request, 200, "X-Own: 1\r\n", "hi"));
        String response = call("POST", "/once/x?q=1", "body");
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).contains("X-Own: 1");
        assertThat(response).contains("Vanilladoor-Stamp: proof");
        assertThat(response).endsWith("\r\n\r\nhi");
        Received received = endpoint.received().get(0);
        assertThat(received.head()).startsWith("POST /once/x?q=1 HTTP/1.1");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.header("vanilladoor-tenant")).isEqualTo("team");
        assertThat(received.head()).doesNotContain("secret");
        assertThat(mStartedTeams).containsExactly("team");
    }

    @Test
    void unknownKeysAndRoutesAreReportedAsErrorsOnlyWhileTheConfigurationIsConfirmed()
            throws Exception {
        assertThat(callWithKey("GET", "/safe/x", "", "wrong")).startsWith("HTTP/1.1 401");
        assertThat(call("GET", "/nowhere/x", "")).startsWith("HTTP/1.1 404");
        ServingState state = mState;
        state.applyIfNewer(configuration(2));
        mConfirmsConfiguration = false;
        waitUntil(() -> mState.confirmationAgeMillis() > 2_600);
        assertThat(callWithKey("GET", "/safe/x", "", "wrong")).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "/nowhere/x", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void aKeyIsRefusedOnceTheLastConfirmationIsTooOld() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 200, "", "hi"));
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 200");
        mConfirmsConfiguration = false;
        waitUntil(() -> mState.confirmationAgeMillis() > 4_100);
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "/open/x", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void anAtMostOnceRequestIsNotRetriedAfterAReset() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.RESET));
        ScriptedEndpoint other = endpoint("f", request -> new Answer("", End.RESET));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
        assertThat(endpoint.received().size() + other.received().size()).isEqualTo(1);
    }

    @Test
    void anAtMostOnceRequestIsRetriedIfItsEndpointStatesThatItHasNotRun() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Function<Received, Answer> script =
                request ->
                        calls.incrementAndGet() == 1
                                ? ScriptedEndpoint.refusal(request, 503)
                                : ScriptedEndpoint.response(request, 200, "", "bought");
        endpoint("e", script);
        endpoint("f", script);
        assertThat(call("POST", "/once/x", "body")).endsWith("bought");
        assertThat(mStartedTeams).hasSize(1);
    }

    @Test
    void aRequestThatNoEndpointHasRunIsRefusedWithRetryAfter() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.refusal(request, 503));
        String response = call("POST", "/once/x", "body");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: 0.");
        assertThat(response).doesNotContain("Stamp");
    }

    @Test
    void aServerErrorWithoutNotRunHeaderIsReportedAsUnknownOutcome() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 503, "", "busy"));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void anIdempotentRequestIsRetriedAtAnotherEndpointAfterAFailure() throws Exception {
        Function<Received, Answer> failing =
                request -> ScriptedEndpoint.response(request, 500, "", "broken");
        endpoint("e", failing);
        endpoint("f", failing);
        assertThat(call("GET", "/safe/x", "")).endsWith("broken");
        int sent = mEndpoints.get(0).received().size() + mEndpoints.get(1).received().size();
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void aResponseWithTheIdentifierOfAnotherRequestIsRejected() throws Exception {
        endpoint(
                "e",
                request ->
                        new Answer(
                                "HTTP/1.1 200 OK\r\nVanilladoor-Attempt-Id: other\r\n"
                                        + "Vanilladoor-Stamp: p\r\nContent-Length: 2\r\n\r\nno",
                                End.KEEP));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aSuccessfulResponseWithoutSignatureIsNotForwarded() throws Exception {
        endpoint(
                "e",
                request ->
                        new Answer(
                                ScriptedEndpoint.response(request, 200, "", "hi")
                                        .text()
                                        .replace("Vanilladoor-Stamp: proof\r\n", ""),
                                End.KEEP));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aTruncatedResponseIsNotForwardedAsComplete() throws Exception {
        endpoint(
                "e",
                request ->
                        new Answer(
                                ScriptedEndpoint.response(request, 200, "", "complete")
                                        .text()
                                        .replace("complete", "comp"),
                                End.CLOSE));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aResponseWithoutLengthEndsWithItsConnection() throws Exception {
        endpoint(
                "e",
                request ->
                        new Answer(
                                ScriptedEndpoint.response(request, 200, "", "whole")
                                        .text()
                                        .replace("Content-Length: 5\r\n", ""),
                                End.CLOSE));
        assertThat(call("POST", "/once/x", "body")).endsWith("\r\n\r\nwhole");
    }

    @Test
    void bytesThatAreNotHttpAreNotForwarded() throws Exception {
        endpoint("e", request -> new Answer("garbage garbage\r\n\r\n", End.CLOSE));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aStreamIsForwardedWithAllItsEvents() throws Exception {
        endpoint(
                "e",
                request ->
                        ScriptedEndpoint.streamResponse(
                                request, End.KEEP, FIRST_EVENT, SECOND_EVENT));
        String response = call("POST", "/chat/x", "body");
        assertThat(events(response)).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(response).endsWith("0\r\n\r\n");
        assertThat(mStartedTeams).hasSize(1);
    }

    @Test
    void anInterruptedStreamIsAbortedWithoutTheFinalChunk() throws Exception {
        endpoint(
                "e",
                request ->
                        ScriptedEndpoint.streamResponse(
                                request, End.CLOSE, FIRST_EVENT, "id: 2\nda"));
        for (int repetition = 0; repetition < 20; repetition++) {
            String response = call("POST", "/chat/x", "body");
            assertWithMessage("repetition %s", repetition)
                    .that(response)
                    .doesNotContain("\r\n0\r\n\r\n");
            assertThat(response).doesNotContain("id: 2");
        }
    }

    @Test
    void anInterruptedResumableStreamContinuesAtAnotherEndpoint() throws Exception {
        Function<Received, Answer> script =
                request ->
                        request.header("last-event-id").equals("1")
                                ? ScriptedEndpoint.streamResponse(request, End.KEEP, SECOND_EVENT)
                                : ScriptedEndpoint.streamResponse(
                                        request, End.CLOSE_WHEN_TRIGGERED, FIRST_EVENT, "id: 2\n");
        ScriptedEndpoint first = endpoint("e", script);
        ScriptedEndpoint second = endpoint("f", script);
        String response =
                exchange(
                        request("POST", "/resume/x", "body", "secret", ""),
                        responseSoFar -> {
                            if (responseSoFar.contains("data: one")) {
                                first.triggerClose();
                                second.triggerClose();
                            }
                        });
        assertThat(events(response)).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(mStartedTeams).hasSize(1);
    }

    @Test
    void aLongPromptIsPrefilledOnASeparateEngineAndItsKvCacheFetched() throws Exception {
        ScriptedEndpoint prefillEngine = prefillEngine();
        ScriptedEndpoint decodeEngine =
                endpoint(
                        "decode-engine",
                        request -> ScriptedEndpoint.streamResponse(request, End.KEEP, FIRST_EVENT));
        String prompt =
                "Vanilladoor-Token-Count: 9000,2\r\nVanilladoor-Prompt-Prefix: a:6000,b:3000\r\n";
        assertThat(events(send("POST", "/resume/x", "body", "secret", prompt)))
                .isEqualTo(FIRST_EVENT);
        assertThat(prefillEngine.received().get(0).header("vanilladoor-stage"))
                .isEqualTo("prefill");
        assertThat(decodeEngine.received().get(0).header("vanilladoor-kv-from"))
                .isEqualTo(prefillEngine.address() + "/h1");
    }

    @Test
    void aRequestThatMayHaveRunIsNotReportedAsNotRunWhenItsRetryFindsNoFreeEngine()
            throws Exception {
        AtomicInteger prefills = new AtomicInteger();
        ScriptedEndpoint prefillEngine =
                endpoint(
                        "prefill-engine",
                        EngineRole.PREFILL,
                        request ->
                                prefills.incrementAndGet() == 1
                                        ? prefilled(request)
                                        : new Answer("", End.HANG));
        ScriptedEndpoint decodeEngine =
                endpoint("decode-engine", request -> new Answer("", End.CLOSE_WHEN_TRIGGERED));
        String prompt = "Vanilladoor-Token-Count: 9000,2\r\n";
        CompletableFuture<String> response =
                CompletableFuture.supplyAsync(() -> sendUnchecked("/resume/x", prompt));
        waitUntil(() -> decodeEngine.received().size() == 1);
        CompletableFuture.runAsync(() -> sendUnchecked("/resume/x", prompt));
        CompletableFuture.runAsync(() -> sendUnchecked("/resume/x", prompt));
        waitUntil(() -> prefillEngine.received().size() == 3);
        decodeEngine.triggerClose();
        assertThat(response.get()).startsWith("HTTP/1.1 502");
    }

    @Test
    void anEndpointThatDoesNotRespondCausesATimeOutAndItsConnectionIsClosed() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.HANG));
        long startMillis = MonotonicClock.nowMillis();
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 504");
        assertThat(MonotonicClock.nowMillis() - startMillis).isAtMost(TIMEOUT_MILLIS + 500);
        waitUntil(() -> endpoint.connectionsClosedByPeer() == 1);
    }

    @Test
    void theConnectionToTheEndpointIsClosedWhenTheCallerDisconnects() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.HANG));
        try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
            socket.getOutputStream().write(request("POST", "/once/x", "b", "secret", ""));
            waitUntil(() -> !endpoint.received().isEmpty());
        }
        long disconnectMillis = MonotonicClock.nowMillis();
        waitUntil(() -> endpoint.connectionsClosedByPeer() == 1);
        assertThat(MonotonicClock.nowMillis() - disconnectMillis).isAtMost(500);
    }

    @Test
    void aStoppingProcessServesForAWhileAndThenRefusesRequests() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 200, "", "hi"));
        mState.markStopping();
        assertThat(call("GET", "/safe/x", "")).contains("Connection: close");
        waitUntil(mState::isRefusingRequests);
        String response = call("POST", "/once/x", "body");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Connection: close");
        assertThat(mEndpoints.get(0).received()).hasSize(1);
    }

    @Test
    void aBodyLargerThanAllowedIsRefused() throws Exception {
        assertThat(call("POST", "/once/x", "x".repeat(2_000))).startsWith("HTTP/1.1 413");
    }

    @Test
    void aMalformedChunkIsReportedAsABadRequest() throws Exception {
        String head =
                "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
        assertThat(exchange(head.getBytes(StandardCharsets.US_ASCII))).startsWith("HTTP/1.1 400");
    }

    @Test
    void aRequestWithoutAnyEndpointIsRefusedWithRetryAfter() throws Exception {
        String response = call("GET", "/safe/x", "");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After");
    }
}
