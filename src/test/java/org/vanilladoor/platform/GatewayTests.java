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

/** Requests through a gateway to endpoints that misbehave, over real connections. */
@Timeout(30)
class GatewayTests extends GatewayFixture {
    private static final String ONE = "id: 1\ndata: one\n\n";
    private static final String TWO = "id: 2\ndata: two\n\n";

    @Test
    void aWholeAnswerIsPassedOnUnchanged() throws Exception {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        request -> ScriptedEndpoint.response(request, 200, "X-Own: 1\r\n", "hi"));
        String answer = call("POST", "/once/x?q=1", "body");
        assertThat(answer).startsWith("HTTP/1.1 200");
        assertThat(answer).contains("X-Own: 1");
        assertThat(answer).contains("Vanilladoor-Stamp: proof");
        assertThat(answer).endsWith("\r\n\r\nhi");
        Received received = endpoint.received().get(0);
        assertThat(received.head()).startsWith("POST /once/x?q=1 HTTP/1.1");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.header("vanilladoor-tenant")).isEqualTo("team");
        assertThat(received.head()).doesNotContain("secret");
        assertThat(mBegan).containsExactly("team");
    }

    @Test
    void unknownKeysAndRoutesAreDeniedOnlyWhileTheConfigurationIsConfirmed() throws Exception {
        assertThat(callWith("GET", "/safe/x", "", "wrong")).startsWith("HTTP/1.1 401");
        assertThat(call("GET", "/nowhere/x", "")).startsWith("HTTP/1.1 404");
        ServingState unconfirmed = mState;
        unconfirmed.applyIfNewer(configuration(2));
        waitUntil(() -> mState.confirmationAgeMillis() > 2_600);
        assertThat(callWith("GET", "/safe/x", "", "wrong")).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "/nowhere/x", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void aKeyThatWasNotConfirmedLatelyIsRefused() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 200, "", "hi"));
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 200");
        waitUntil(() -> mState.confirmationAgeMillis() > 4_100);
        assertThat(call("GET", "/safe/x", "")).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "/open/x", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestThatMayRunOnceIsNotSentAgainAfterAReset() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.RESET));
        ScriptedEndpoint other = endpoint("f", request -> new Answer("", End.RESET));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
        assertThat(endpoint.received().size() + other.received().size()).isEqualTo(1);
    }

    @Test
    void aRequestThatMayRunOnceIsSentElsewhereIfItsEndpointSaysItHasNotRun() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Function<Received, Answer> script =
                request ->
                        calls.incrementAndGet() == 1
                                ? ScriptedEndpoint.response(
                                        request, 503, "Vanilladoor-Not-Run: 1\r\n", "")
                                : ScriptedEndpoint.response(request, 200, "", "bought");
        endpoint("e", script);
        endpoint("f", script);
        assertThat(call("POST", "/once/x", "body")).endsWith("bought");
        assertThat(mBegan).hasSize(1);
    }

    @Test
    void aFullFleetIsRefusedAsNotRunWithATimeToComeBack() throws Exception {
        endpoint(
                "e",
                request ->
                        ScriptedEndpoint.response(request, 503, "Vanilladoor-Not-Run: 1\r\n", ""));
        String answer = call("POST", "/once/x", "body");
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("Retry-After: 0.");
        assertThat(answer).doesNotContain("Stamp");
    }

    @Test
    void anEndpointsFailureWithoutThePromiseNotToHaveRunPromisesNothing() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 503, "", "busy"));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void anIdempotentRequestIsTriedElsewhereAfterAFailure() throws Exception {
        Function<Received, Answer> failing =
                request -> ScriptedEndpoint.response(request, 500, "", "broken");
        endpoint("e", failing);
        endpoint("f", failing);
        assertThat(call("GET", "/safe/x", "")).endsWith("broken");
        int sent = mEndpoints.get(0).received().size() + mEndpoints.get(1).received().size();
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void aLateAnswerToAnotherRequestIsNeverBelieved() throws Exception {
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
    void aSuccessWithoutItsEndpointsProofIsNotPassedOn() throws Exception {
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
    void anAnswerThatIsCutShortDoesNotLookComplete() throws Exception {
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
    void anAnswerWithoutLengthEndsWithItsConnection() throws Exception {
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
    void bytesThatAreNoAnswerAreNotPassedOn() throws Exception {
        endpoint("e", request -> new Answer("garbage garbage\r\n\r\n", End.CLOSE));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aStreamIsPassedOnEventByEvent() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.streamResponse(request, End.KEEP, ONE, TWO));
        String answer = call("POST", "/chat/x", "body");
        assertThat(events(answer)).isEqualTo(ONE + TWO);
        assertThat(answer).endsWith("0\r\n\r\n");
        assertThat(mBegan).hasSize(1);
    }

    @Test
    void aStreamThatBreaksOffIsCutWithoutTheMarkOfACompleteAnswer() throws Exception {
        endpoint(
                "e",
                request -> ScriptedEndpoint.streamResponse(request, End.CLOSE, ONE, "id: 2\nda"));
        for (int round = 0; round < 20; round++) {
            String answer = call("POST", "/chat/x", "body");
            assertWithMessage("round %s", round).that(answer).doesNotContain("\r\n0\r\n\r\n");
            assertThat(answer).doesNotContain("id: 2");
        }
    }

    @Test
    void aStreamThatMayBeResumedGoesOnAtAnotherEndpoint() throws Exception {
        Function<Received, Answer> script =
                request ->
                        request.header("last-event-id").equals("1")
                                ? ScriptedEndpoint.streamResponse(request, End.KEEP, TWO)
                                : ScriptedEndpoint.streamResponse(
                                        request, End.CLOSE_WHEN_TOLD, ONE, "id: 2\n");
        ScriptedEndpoint first = endpoint("e", script);
        ScriptedEndpoint second = endpoint("f", script);
        String answer =
                exchange(
                        request("POST", "/resume/x", "body", "secret", ""),
                        passed -> {
                            if (passed.contains("data: one")) {
                                first.tellToClose();
                                second.tellToClose();
                            }
                        });
        assertThat(events(answer)).isEqualTo(ONE + TWO);
        assertThat(mBegan).hasSize(1);
    }

    @Test
    void aLongPromptIsReadApartAndFetchedByTheEngineThatGenerates() throws Exception {
        ScriptedEndpoint reader =
                endpoint(
                        "reader",
                        EngineRole.PREFILL,
                        request ->
                                ScriptedEndpoint.response(
                                        request, 200, "", "{\"kv_handle\":\"h1\"}"));
        ScriptedEndpoint runner =
                endpoint(
                        "runner",
                        request -> ScriptedEndpoint.streamResponse(request, End.KEEP, ONE));
        String prompt =
                "Vanilladoor-Token-Count: 9000,2\r\nVanilladoor-Prompt-Prefix: a:6000,b:3000\r\n";
        assertThat(events(send("POST", "/resume/x", "body", "secret", prompt))).isEqualTo(ONE);
        assertThat(reader.received().get(0).header("vanilladoor-stage")).isEqualTo("prefill");
        assertThat(runner.received().get(0).header("vanilladoor-kv-from"))
                .isEqualTo(reader.address() + "/h1");
    }

    @Test
    void aRequestThatMayHaveRunIsNotSaidToHaveNotRunWhenNoEngineHasRoomLater() throws Exception {
        AtomicInteger reads = new AtomicInteger();
        ScriptedEndpoint reader =
                endpoint(
                        "reader",
                        EngineRole.PREFILL,
                        request ->
                                reads.incrementAndGet() == 1
                                        ? ScriptedEndpoint.response(
                                                request, 200, "", "{\"kv_handle\":\"h1\"}")
                                        : new Answer("", End.HANG));
        ScriptedEndpoint runner =
                endpoint("runner", request -> new Answer("", End.CLOSE_WHEN_TOLD));
        String prompt = "Vanilladoor-Token-Count: 9000,2\r\n";
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> sendUnchecked("/resume/x", prompt));
        waitUntil(() -> runner.received().size() == 1);
        CompletableFuture.runAsync(() -> sendUnchecked("/resume/x", prompt));
        CompletableFuture.runAsync(() -> sendUnchecked("/resume/x", prompt));
        waitUntil(() -> reader.received().size() == 3);
        runner.tellToClose();
        assertThat(answer.get()).startsWith("HTTP/1.1 502");
    }

    @Test
    void aSilentEndpointEndsInATimeOutThatPromisesNothing() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.HANG));
        long before = MonotonicClock.nowMillis();
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 504");
        assertThat(MonotonicClock.nowMillis() - before).isAtMost(TIMEOUT_MILLIS + 500);
        waitUntil(() -> endpoint.closedByPeer() == 1);
    }

    @Test
    void anEndpointsWorkEndsWhenItsCallerLeaves() throws Exception {
        ScriptedEndpoint endpoint = endpoint("e", request -> new Answer("", End.HANG));
        try (Socket socket = new Socket("127.0.0.1", mFront.address().port())) {
            socket.getOutputStream().write(request("POST", "/once/x", "b", "secret", ""));
            waitUntil(() -> !endpoint.received().isEmpty());
        }
        long left = MonotonicClock.nowMillis();
        waitUntil(() -> endpoint.closedByPeer() == 1);
        assertThat(MonotonicClock.nowMillis() - left).isAtMost(500);
    }

    @Test
    void aStoppingProcessServesForAWhileAndThenSendsCallersElsewhere() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.response(request, 200, "", "hi"));
        mState.markStopping();
        assertThat(call("GET", "/safe/x", "")).contains("Connection: close");
        waitUntil(mState::isRefusingRequests);
        String answer = call("POST", "/once/x", "body");
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("Connection: close");
        assertThat(mEndpoints.get(0).received()).hasSize(1);
    }

    @Test
    void aBodyLargerThanAllowedIsRefused() throws Exception {
        assertThat(call("POST", "/once/x", "x".repeat(2_000))).startsWith("HTTP/1.1 413");
    }

    @Test
    void aBrokenChunkIsAnsweredAsMalformed() throws Exception {
        String head =
                "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
        assertThat(exchange(head.getBytes(StandardCharsets.US_ASCII))).startsWith("HTTP/1.1 400");
    }

    @Test
    void withoutAnEndpointTheRequestIsRefusedAtOnce() throws Exception {
        String answer = call("GET", "/safe/x", "");
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("Retry-After");
    }
}
