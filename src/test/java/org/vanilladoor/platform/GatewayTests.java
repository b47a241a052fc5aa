package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.gateway.Gateway;
import org.vanilladoor.gateway.GatewayMetrics;
import org.vanilladoor.gateway.RetryShares;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.gateway.WorkSink;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;
import org.vanilladoor.route.CallerLimits;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.RouteKind;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.route.TeamEntry;
import org.vanilladoor.transport.FrontServer;
import org.vanilladoor.transport.Links;

/** Requests through a gateway to endpoints that misbehave, over real connections. */
@Timeout(30)
class GatewayTests {
    private static final String ONE = "id: 1\ndata: one\n\n";
    private static final String TWO = "id: 2\ndata: two\n\n";
    private static final long TIMEOUT_MILLIS = 1_200;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final Links mLinks = Links.start(mControl);
    private final ServingState mState = ServingState.create();
    private final EndpointDirectory mDirectory = EndpointDirectory.create();
    private final List<String> mBegan = new CopyOnWriteArrayList<>();
    private final List<ScriptedEndpoint> mEndpoints = new ArrayList<>();
    private FrontServer mFront;

    @BeforeEach
    void start() throws IOException {
        mState.accept(configuration(1));
        mState.confirm(ExpiryClock.nowMillis());
        mState.endpointsKnown();
        mState.setMachines(1);
        Gateway gateway =
                Gateway.start(
                        mControl,
                        mLinks,
                        new OperatorWireFormat(),
                        mState,
                        Placement.create(mDirectory, "a", new SplittableRandom(3)),
                        new Gateway.Accounts(
                                RetryShares.create(0.2, 100, 10_000),
                                mBegan::add,
                                new IgnoredWork(),
                                GatewayMetrics.create(new MetricRegistry())),
                        new SplittableRandom(4));
        mFront =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        8_192,
                        () -> 1_000,
                        gateway::arrived);
    }

    @AfterEach
    void stop() throws IOException {
        mFront.close();
        mLinks.close();
        mControl.close();
        for (ScriptedEndpoint endpoint : mEndpoints) {
            endpoint.close();
        }
    }

    @Test
    void aWholeAnswerIsPassedOnUnchanged() throws Exception {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        request -> ScriptedEndpoint.answer(request, 200, "X-Own: 1\r\n", "hi"));
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
        unconfirmed.accept(configuration(2));
        waitUntil(() -> mState.confirmationAgeMillis() > 2_600);
        assertThat(callWith("GET", "/safe/x", "", "wrong")).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "/nowhere/x", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void aKeyThatWasNotConfirmedLatelyIsRefused() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.answer(request, 200, "", "hi"));
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
                                ? ScriptedEndpoint.answer(
                                        request, 503, "Vanilladoor-Not-Run: 1\r\n", "")
                                : ScriptedEndpoint.answer(request, 200, "", "bought");
        endpoint("e", script);
        endpoint("f", script);
        assertThat(call("POST", "/once/x", "body")).endsWith("bought");
        assertThat(mBegan).hasSize(1);
    }

    @Test
    void aFullFleetIsRefusedAsNotRunWithATimeToComeBack() throws Exception {
        endpoint(
                "e",
                request -> ScriptedEndpoint.answer(request, 503, "Vanilladoor-Not-Run: 1\r\n", ""));
        String answer = call("POST", "/once/x", "body");
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("Retry-After: 0.");
        assertThat(answer).doesNotContain("Stamp");
    }

    @Test
    void anEndpointsFailureWithoutThePromiseNotToHaveRunPromisesNothing() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.answer(request, 503, "", "busy"));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void anIdempotentRequestIsTriedElsewhereAfterAFailure() throws Exception {
        Function<Received, Answer> failing =
                request -> ScriptedEndpoint.answer(request, 500, "", "broken");
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
    void anAnswerThatIsCutShortDoesNotLookComplete() throws Exception {
        endpoint(
                "e",
                request ->
                        new Answer(
                                ScriptedEndpoint.answer(request, 200, "", "complete")
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
                                ScriptedEndpoint.answer(request, 200, "", "whole")
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
        endpoint("e", request -> ScriptedEndpoint.stream(request, End.KEEP, ONE, TWO));
        String answer = call("POST", "/chat/x", "body");
        assertThat(events(answer)).isEqualTo(ONE + TWO);
        assertThat(answer).endsWith("0\r\n\r\n");
        assertThat(mBegan).hasSize(1);
    }

    @Test
    void aStreamThatBreaksOffIsCutWithoutTheMarkOfACompleteAnswer() throws Exception {
        endpoint("e", request -> ScriptedEndpoint.stream(request, End.CLOSE, ONE, "id: 2\nda"));
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
                                ? ScriptedEndpoint.stream(request, End.KEEP, TWO)
                                : ScriptedEndpoint.stream(
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
                                ScriptedEndpoint.answer(
                                        request, 200, "", "{\"kv_handle\":\"h1\"}"));
        ScriptedEndpoint runner =
                endpoint("runner", request -> ScriptedEndpoint.stream(request, End.KEEP, ONE));
        String prompt =
                "Vanilladoor-Token-Count: 9000,2\r\nVanilladoor-Prompt-Prefix: a:6000,b:3000\r\n";
        assertThat(events(send("POST", "/resume/x", "body", "secret", prompt))).isEqualTo(ONE);
        assertThat(reader.received().get(0).header("vanilladoor-stage")).isEqualTo("prefill");
        assertThat(runner.received().get(0).header("vanilladoor-kv-from"))
                .isEqualTo(reader.address() + "/h1");
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
        endpoint("e", request -> ScriptedEndpoint.answer(request, 200, "", "hi"));
        mState.stop();
        assertThat(call("GET", "/safe/x", "")).contains("Connection: close");
        waitUntil(mState::isClosing);
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

    private ScriptedEndpoint endpoint(String name, Function<Received, Answer> script)
            throws IOException {
        return endpoint(name, EngineRole.DECODE, script);
    }

    private ScriptedEndpoint endpoint(
            String name, EngineRole role, Function<Received, Answer> script) throws IOException {
        ScriptedEndpoint endpoint = ScriptedEndpoint.start(script);
        mEndpoints.add(endpoint);
        mControl.query(
                        () -> {
                            mDirectory.put(Endpoints.at(name, "a", role, endpoint.address()));
                            return null;
                        })
                .join();
        return endpoint;
    }

    private String call(String method, String path, String body) throws IOException {
        return callWith(method, path, body, "secret");
    }

    private String callWith(String method, String path, String body, String key)
            throws IOException {
        return send(method, path, body, key, "");
    }

    private String send(String method, String path, String body, String key, String headers)
            throws IOException {
        return exchange(request(method, path, body, key, headers));
    }

    private String exchange(byte[] request) throws IOException {
        return exchange(request, passed -> {});
    }

    /** Returns the answer up to its end, or up to where nothing more comes. */
    private String exchange(byte[] request, Consumer<String> watcher) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mFront.address().port())) {
            socket.getOutputStream().write(request);
            // Long enough for every answer, short enough to end the wait on a kept connection.
            socket.setSoTimeout(2_000);
            StringBuilder answer = new StringBuilder();
            try {
                int next = socket.getInputStream().read();
                while (next >= 0) {
                    answer.append((char) next);
                    watcher.accept(answer.toString());
                    next = socket.getInputStream().read();
                }
            } catch (IOException e) {
                // A cut answer ends with a reset; what came before it counts.
                answer.append("");
            }
            return answer.toString();
        }
    }

    private static byte[] request(
            String method, String path, String body, String key, String headers) {
        String text =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        + "Vanilladoor-Attempt-Id: id-1\r\nVanilladoor-Deadline-Ms: 5000\r\n"
                        + "Vanilladoor-Key: "
                        + key
                        + "\r\n"
                        + headers
                        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n"
                        + body;
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the content of a chunked answer. */
    private static String events(String answer) {

        String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
        return body.replaceAll("(?m)(^|\\r\\n)[0-9a-f]+\\r\\n", "").replace("\r\n", "");
    }

    private static void waitUntil(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }

    private static ServingConfiguration configuration(long version) {
        return ServingConfiguration.of(
                version,
                List.of(
                        route("/once/", RouteKind.AT_MOST_ONCE, false, false),
                        route("/safe/", RouteKind.IDEMPOTENT, false, false),
                        route("/open/", RouteKind.IDEMPOTENT, true, false),
                        route("/chat/", RouteKind.STREAM, false, false),
                        route("/resume/", RouteKind.STREAM, false, true)),
                List.of(),
                new CallerLimits(8_192, 1_000),
                Map.of("secret", new TeamEntry("team", OptionalInt.empty())),
                true);
    }

    private static Route route(String prefix, RouteKind kind, boolean open, boolean resumable) {
        return new Route(
                prefix,
                "h",
                prefix,
                kind,
                TIMEOUT_MILLIS,
                150,
                150,
                0,
                List.of(new Route.WeightedService(Endpoints.SERVICE, 1)),
                kind == RouteKind.AT_MOST_ONCE ? 1 : 2,
                open,
                true,
                resumable);
    }

    /** Measures nothing. */
    private static final class IgnoredWork implements WorkSink {
        @Override
        public void reading(String service, int change) {
            // Nothing to measure.
        }

        @Override
        public void running(String service, int change) {
            // Nothing to measure.
        }
    }
}
