package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Endpoints that send an earlier response once more on the connection that carried it. */
@Timeout(120)
class RepeatedResponseTests extends GatewayFixture {
    private static final String FIRST = "1111111111111111";
    private static final String OTHER = "2222222222222222";
    private static final String LONG_PROMPT = "Vanilladoor-Token-Count: 9000,2\r\n";
    private static final Set<String> NOT_RUN_STATUSES = Set.of("408", "421", "429", "503");

    /** Bytes by which a cut grows from case to case; no divisor of a line's length. */
    private static final int CUT_STEP = 7;

    private final List<String> mRuns = new CopyOnWriteArrayList<>();

    static List<Arguments> repetitions() {
        List<Arguments> arguments = new ArrayList<>();
        for (int status : new int[] {400, 421, 429, 503}) {
            for (Arrival arrival : Arrival.values()) {
                for (String path : new String[] {"/once/x", "/chat/x"}) {
                    for (String next : new String[] {FIRST, OTHER}) {
                        arguments.add(Arguments.of(status, arrival, path, next));
                    }
                }
            }
        }
        return arguments;
    }

    @ParameterizedTest
    @MethodSource("repetitions")
    void noRepeatedRefusalIsTakenForTheResponseToARequestThatRuns(
            int status, Arrival arrival, String path, String next) throws IOException {
        int wholeLength = ScriptedEndpoint.refusal(received(FIRST), status).text().length();
        for (int length = 0; length < wholeLength; length += CUT_STEP) {
            assertNoUntrueRefusal(status, arrival, path, next, wholeLength - length);
        }
    }

    private void assertNoUntrueRefusal(
            int status, Arrival arrival, String path, String next, int length) throws IOException {
        mRuns.clear();
        List<ScriptedEndpoint> endpoints = new ArrayList<>();
        for (String name : List.of("e", "f")) {
            endpoints.add(endpoint(name, new RefusingOnce(status, arrival, path, length)::answer));
        }
        exchange(request(FIRST, path));
        if (arrival == Arrival.WHILE_IDLE) {
            endpoints.forEach(ScriptedEndpoint::awaitStray);
        }
        String response = exchange(request(next, path));
        String message = "first %s bytes of the refusal, answer %s, runs %s";
        assertWithMessage(message, length, response.lines().findFirst(), mRuns)
                .that(mRuns.contains(next) && NOT_RUN_STATUSES.contains(statusOf(response)))
                .isFalse();
        assertWithMessage(message, length, response.lines().findFirst(), mRuns)
                .that(mRuns.stream().filter(next::equals).count())
                .isAtMost(1);
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    @Test
    void aRequestThatItsCallerRepeatsIsSentOverAConnectionThatHasNotCarriedIt() throws IOException {
        ScriptedEndpoint endpoint =
                endpoint("e", received -> ScriptedEndpoint.refusal(received, 503));
        exchange(request(FIRST, "/once/x"));
        exchange(request(OTHER, "/once/x"));
        assertThat(endpoint.received().get(1).connection()).isEqualTo(0);
        exchange(request(FIRST, "/once/x"));
        assertThat(endpoint.received().get(2).connection()).isEqualTo(1);
    }

    @Test
    void aSecondPrefillAtAnEngineDoesNotGetTheHandleOfTheFirst() throws Exception {
        AtomicInteger prefills = new AtomicInteger();
        ScriptedEndpoint prefillEngine =
                endpoint(
                        "prefill-engine",
                        EngineRole.PREFILL,
                        received -> {
                            int number = prefills.incrementAndGet();
                            String repeated =
                                    number > 1 && received.connection() == 0
                                            ? prefilled(received, 1)
                                            : "";
                            return new Answer(repeated + prefilled(received, number), End.KEEP);
                        });
        for (String name : List.of("decode-1", "decode-2")) {
            endpoint(
                    name,
                    received ->
                            received.header("vanilladoor-kv-from").endsWith("/h2")
                                    ? ScriptedEndpoint.streamResponse(
                                            received, End.KEEP, "id: 1\ndata: one\n\n")
                                    : ScriptedEndpoint.refusal(received, 503));
        }
        assertThat(send("POST", "/resume/x", "body", "secret", LONG_PROMPT))
                .startsWith("HTTP/1.1 200");
        assertThat(prefillEngine.received()).hasSize(2);
    }

    private static String prefilled(Received received, int number) {
        String body = "{\"kv_handle\":\"h" + number + "\"}";
        return ScriptedEndpoint.response(received, 200, "", body).text();
    }

    private static Received received(String identifier) {
        return new Received("vanilladoor-attempt-id: " + identifier, "");
    }

    private static byte[] request(String identifier, String path) {
        String text =
                new String(request("POST", path, "body", "secret", ""), StandardCharsets.US_ASCII);
        return text.replace("id-1", identifier).getBytes(StandardCharsets.US_ASCII);
    }

    private static String statusOf(String response) {
        return response.isEmpty() ? "none" : response.substring(9, 12);
    }

    /** When the copy of a response arrives at the gateway. */
    private enum Arrival {
        WITH_THE_RESPONSE,
        WHILE_IDLE,
        AFTER_THE_NEXT_REQUEST
    }

    /**
     * An endpoint that refuses the first request, runs all others and sends the refusal, or its
     * start, once more. Safe for use by any thread.
     */
    private final class RefusingOnce {
        private final int mStatus;
        private final Arrival mArrival;
        private final String mPath;
        private final int mLength;
        private final AtomicInteger mReceived = new AtomicInteger();
        private final Set<Integer> mRepeatingConnections = ConcurrentHashMap.newKeySet();

        RefusingOnce(int status, Arrival arrival, String path, int length) {
            mStatus = status;
            mArrival = arrival;
            mPath = path;
            mLength = length;
        }

        Answer answer(Received received) {
            String copy =
                    ScriptedEndpoint.refusal(received(FIRST), mStatus).text().substring(0, mLength);
            if (mReceived.getAndIncrement() == 0) {
                Answer refusal = ScriptedEndpoint.refusal(received, mStatus);
                return switch (mArrival) {
                    case WITH_THE_RESPONSE -> new Answer(refusal.text() + copy, End.KEEP);
                    case WHILE_IDLE -> refusal.withStray(copy);
                    case AFTER_THE_NEXT_REQUEST -> {
                        mRepeatingConnections.add(received.connection());
                        yield refusal;
                    }
                };
            }
            mRuns.add(received.header("vanilladoor-attempt-id"));
            Answer run =
                    mPath.startsWith("/chat/")
                            ? ScriptedEndpoint.streamResponse(
                                    received, End.KEEP, "id: 1\ndata: one\n\n")
                            : ScriptedEndpoint.response(received, 200, "", "done");
            return mRepeatingConnections.remove(received.connection())
                    ? new Answer(copy + run.text(), End.KEEP)
                    : run;
        }
    }
}
