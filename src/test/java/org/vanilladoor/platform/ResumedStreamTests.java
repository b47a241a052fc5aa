package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.gateway.LocalRetryBudgets;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * Guards against a stream that has begun and then gets no end, looks complete though it is not, or
 * contains anything but its own events, whatever a later call is answered.
 */
@Timeout(120)
class ResumedStreamTests extends GatewayFixture {
    private static final String FIRST = "id: 1\ndata: one\n\n";
    private static final String SECOND = "id: 2\ndata: two\n\n";
    private static final String THIRD = "id: 3\ndata: three\n\n";

    /** The caller's timeout exceeds the route's; half a second is for the end to arrive. */
    private static final int LATEST_END_MILLIS = (int) TIMEOUT_MILLIS + 500;

    private final AtomicInteger mCases = new AtomicInteger();

    @Override
    LocalRetryBudgets retryBudgets() {
        return LocalRetryBudgets.create(0.2, 100_000, 10_000, MonotonicClock.nowMillis() - 10_000);
    }

    @ParameterizedTest
    @EnumSource(FailedResumption.class)
    void aStreamWhoseLastCallFailsIsCutOff(FailedResumption failure) throws IOException {
        Seen seen = streamOver("/resume/", begun(), failure.mScript);
        assertWithMessage("%s: %s", failure, seen.text()).that(seen.end()).isEqualTo(Ending.CUT);
        assertThat(seen.text().indexOf("HTTP/1.1")).isEqualTo(seen.text().lastIndexOf("HTTP/1.1"));
        assertThat(events(seen.text())).isEqualTo(FIRST);
    }

    @ParameterizedTest
    @EnumSource(FailedResumption.class)
    void aStreamWhoseSecondCallFailsGoesOnAtAThirdEndpoint(FailedResumption failure)
            throws IOException {
        if (failure == FailedResumption.SILENCE) {
            return;
        }
        Seen seen = streamOver("/resume-often/", begun(), failure.mScript, rest());
        assertWithMessage("%s: %s", failure, seen.text())
                .that(seen.end())
                .isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text())).isEqualTo(FIRST + SECOND + THIRD);
    }

    @ParameterizedTest
    @EnumSource(
            value = FailedResumption.class,
            names = {"REFUSED_AS_FULL", "MISDIRECTED"})
    void aCallThatWasNotRunDoesNotUseUpTheAttempts(FailedResumption failure) throws IOException {
        Seen seen = streamOver("/resume/", begun(), failure.mScript, rest());
        assertThat(seen.end()).isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text())).isEqualTo(FIRST + SECOND + THIRD);
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET"})
    void aResumedStreamThatIsCutAtAnyByteNeverLooksComplete(String end) throws IOException {
        String whole = events200(End.KEEP, SECOND, THIRD).apply(received("id-1")).text();
        for (int length = 0; length < whole.length(); length++) {
            Answer cut = new Answer(whole.substring(0, length), End.valueOf(end));
            Seen seen = streamOver("/resume/", begun(), received -> cut);
            String message = "%s after %s bytes: %s".formatted(end, length, seen.text());
            assertWithMessage(message).that(seen.end()).isEqualTo(Ending.CUT);
            assertWithMessage(message)
                    .that(events(seen.text()))
                    .isAnyOf(FIRST, FIRST + SECOND, FIRST + SECOND + THIRD);
        }
    }

    @Test
    void aStreamCutAtAnyByteIsResumedWithoutLossOrRepetition() throws IOException {
        String whole = events200(End.KEEP, FIRST, SECOND).apply(received("id-1")).text();
        int firstCut = whole.indexOf(FIRST) + FIRST.length();
        for (int length = firstCut; length < whole.length(); length++) {
            Answer cut = new Answer(whole.substring(0, length), End.CLOSE_WHEN_TRIGGERED);
            Seen seen = streamOver("/resume/", received -> cut, rest());
            String message = "after %s bytes: %s".formatted(length, seen.text());
            assertWithMessage(message).that(seen.end()).isEqualTo(Ending.COMPLETE);
            assertWithMessage(message).that(events(seen.text())).isEqualTo(FIRST + SECOND + THIRD);
        }
    }

    @Test
    void aStreamIsCutOffIfItsOtherEndpointRefusesTheConnection() throws IOException {
        endpoint("refusing", begun()).close();
        Seen seen = streamOver("/resume/", begun());
        assertThat(seen.end()).isEqualTo(Ending.CUT);
        assertThat(events(seen.text())).isEqualTo(FIRST);
    }

    @Test
    void aStreamThatBrokeOffAfterItsLastEventIsCompletedByAnEmptyOne() throws IOException {
        Seen seen = streamOver("/resume/", begun(), events200(End.KEEP));
        assertThat(seen.end()).isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text())).isEqualTo(FIRST);
    }

    @Test
    void aStreamWithoutIdentifiersIsCutOffAndNotStartedOver() throws IOException {
        Seen seen =
                streamOver(
                        "/resume/",
                        events200(End.CLOSE_WHEN_TRIGGERED, "data: one\n\n"),
                        events200(End.KEEP, "data: one\n\n", "data: two\n\n"));
        assertThat(seen.end()).isEqualTo(Ending.CUT);
        assertThat(events(seen.text())).isEqualTo("data: one\n\n");
    }

    @Test
    void eventsWithGapsBetweenTheirIdentifiersAreResumed() throws IOException {
        Seen seen =
                streamOver(
                        "/resume/",
                        events200(
                                End.CLOSE_WHEN_TRIGGERED,
                                "id: 3\ndata: a\n\n",
                                "id: 7\ndata: b\n\n"),
                        events200(End.KEEP, "id: 9\ndata: c\n\n"));
        assertThat(seen.end()).isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text()))
                .isEqualTo("id: 3\ndata: a\n\nid: 7\ndata: b\n\nid: 9\ndata: c\n\n");
    }

    @Test
    void anEndpointThatRepeatsAnEventOfItsOwnIsReplaced() throws IOException {
        Seen seen = streamOver("/resume/", events200(End.KEEP, FIRST, FIRST, SECOND), rest());
        assertThat(seen.end()).isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text())).isEqualTo(FIRST + SECOND + THIRD);
    }

    @Test
    void aStreamThatItsCallerResumesDoesNotRepeatEvents() throws IOException {
        Seen seen =
                streamOver(
                        "/resume/",
                        "Last-Event-Id: 1\r\n",
                        events200(End.KEEP, FIRST, SECOND),
                        rest());
        assertThat(seen.end()).isEqualTo(Ending.COMPLETE);
        assertThat(events(seen.text())).isEqualTo(SECOND + THIRD);
    }

    @Test
    void aCallerThatLeavesAResumedStreamEndsItsCall() throws IOException {
        int number = addEndpoints(begun(), events200(End.HANG, SECOND));
        try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
            socket.getOutputStream().write(request("POST", "/resume/x", "b", "secret", ""));
            StringBuilder text = new StringBuilder();
            while (text.indexOf("data: two") < 0) {
                text.append((char) socket.getInputStream().read());
                if (text.indexOf("data: one") >= 0) {
                    mEndpoints.forEach(ScriptedEndpoint::triggerClose);
                }
            }
        }
        long leftMillis = MonotonicClock.nowMillis();
        waitUntil(
                () ->
                        mEndpoints.stream()
                                        .mapToInt(ScriptedEndpoint::connectionsClosedByPeer)
                                        .sum()
                                == 1);
        assertThat(MonotonicClock.nowMillis() - leftMillis).isAtMost(500);
        removeEndpoints(number);
    }

    @SafeVarargs
    private Seen streamOver(String path, Function<Received, Answer>... answers) throws IOException {
        return streamOver(path, "", answers);
    }

    /** Returns what a caller sees of a stream whose n-th call gets the n-th answer. */
    @SafeVarargs
    private Seen streamOver(String path, String headers, Function<Received, Answer>... answers)
            throws IOException {
        int number = addEndpoints(answers);
        Seen seen = readStream(request("POST", path + "x", "body", "secret", headers));
        removeEndpoints(number);
        return seen;
    }

    @SafeVarargs
    private int addEndpoints(Function<Received, Answer>... answers) throws IOException {
        int number = mCases.incrementAndGet();
        AtomicInteger calls = new AtomicInteger();
        for (int index = 0; index < answers.length; index++) {
            endpoint(
                    "e-" + number + "-" + index,
                    received -> answers[calls.getAndIncrement()].apply(received));
        }
        return number;
    }

    private void removeEndpoints(int number) throws IOException {
        for (int index = 0; index < mEndpoints.size(); index++) {
            removeEntry("e-" + number + "-" + index);
            mEndpoints.get(index).close();
        }
        mEndpoints.clear();
    }

    private Seen readStream(byte[] request) throws IOException {
        StringBuilder text = new StringBuilder();
        Ending ending = Ending.CUT;
        try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
            socket.setSoTimeout(LATEST_END_MILLIS);
            socket.getOutputStream().write(request);
            InputStream input = socket.getInputStream();
            for (int next = input.read(); next >= 0; next = input.read()) {
                text.append((char) next);
                if (text.toString().endsWith("\n\n\r\n") && input.available() == 0) {
                    mEndpoints.forEach(ScriptedEndpoint::triggerClose);
                }
            }
        } catch (SocketTimeoutException e) {
            ending = Ending.NONE;
        } catch (IOException e) {
            text.append("");
        }
        boolean isComplete = text.toString().endsWith("\r\n0\r\n\r\n");
        return new Seen(text.toString(), isComplete ? Ending.COMPLETE : ending);
    }

    private static Function<Received, Answer> begun() {
        return events200(End.CLOSE_WHEN_TRIGGERED, FIRST, "id: 2\nda");
    }

    /** Returns an endpoint that sends the events after the last one that the request names. */
    private static Function<Received, Answer> rest() {
        return received ->
                received.header("last-event-id").equals("1")
                        ? events200(End.KEEP, SECOND, THIRD).apply(received)
                        : events200(End.KEEP, THIRD).apply(received);
    }

    private static Function<Received, Answer> events200(End end, String... events) {
        return received -> ScriptedEndpoint.streamResponse(received, end, events);
    }

    private static Received received(String attempt) {
        return new Received("POST / HTTP/1.1\r\nVanilladoor-Attempt-Id: " + attempt, "");
    }

    /** How the response ended, as its caller saw it. */
    private enum Ending {
        COMPLETE,
        CUT,
        NONE
    }

    /**
     * What a caller has received.
     *
     * @param text all bytes
     * @param end how the response ended
     */
    private record Seen(String text, Ending end) {}

    /** A second answer that neither goes on with the stream nor completes it. */
    private enum FailedResumption {
        SERVER_ERROR(status(500, "")),
        BAD_GATEWAY(status(502, "")),
        GATEWAY_TIMEOUT(status(504, "")),
        UNAVAILABLE(status(503, "")),
        REFUSED_AS_FULL(refused(503)),
        MISDIRECTED(refused(421)),
        SIGNED_REFUSAL(status(503, "Vanilladoor-Not-Run: 1\r\n")),
        TOO_MANY_REQUESTS(status(429, "")),
        BAD_REQUEST(status(400, "")),
        NOT_FOUND(status(404, "")),
        CONFLICT(status(409, "")),
        REDIRECT(status(302, "Location: /other\r\n")),
        ERROR_AS_EVENTS(
                received ->
                        changed(received, "200 Status", "500 Status", events200(End.KEEP, SECOND))),
        UNSIGNED_SERVER_ERROR(
                received -> changed(received, "Vanilladoor-Stamp: proof\r\n", "", status(500, ""))),
        UNSIGNED_EVENTS(
                received ->
                        changed(
                                received,
                                "Vanilladoor-Stamp: proof\r\n",
                                "",
                                events200(End.KEEP, SECOND))),
        UNSIGNED_EMPTY_STREAM(
                received ->
                        changed(received, "Vanilladoor-Stamp: proof\r\n", "", events200(End.KEEP))),
        OTHER_IDENTIFIER(
                received -> changed(received, "Id: id-1", "Id: x", events200(End.KEEP, SECOND))),
        JSON(body(200, "Content-Type: application/json\r\n", "{\"error\":\"late\"}")),
        JSON_WITH_EMPTY_LINES(body(200, "Content-Type: application/json\r\n", "{\n\n}\n\n")),
        TEXT_LIKE_EVENTS(body(200, "Content-Type: text/plain\r\n", SECOND)),
        EMPTY_JSON(body(200, "Content-Type: application/json\r\n", "")),
        EMPTY_WITHOUT_TYPE(body(200, "", "")),
        NO_CONTENT(received -> new Answer(ScriptedEndpoint.head(received, 204) + "\r\n", End.KEEP)),
        ENCODED_EVENTS(
                received ->
                        changed(
                                received,
                                "Transfer-",
                                "Content-Encoding: gzip\r\nTransfer-",
                                events200(End.KEEP, SECOND))),
        EARLIER_EVENTS_AGAIN(events200(End.KEEP, FIRST, SECOND, THIRD)),
        EVENTS_AFTER_A_GAP(events200(End.KEEP, THIRD)),
        HALF_AN_EVENT(events200(End.KEEP, "id: 2\ndata: tw")),
        NO_RESPONSE(received -> new Answer("no response\r\n\r\n", End.CLOSE)),
        CLOSED(received -> new Answer("", End.CLOSE)),
        RESET(received -> new Answer("", End.RESET)),
        CRASH(received -> new Answer("", End.CRASH)),
        SILENCE(received -> new Answer("", End.HANG));

        private final Function<Received, Answer> mScript;

        FailedResumption(Function<Received, Answer> script) {
            mScript = script;
        }

        private static Function<Received, Answer> status(int status, String headers) {
            return body(status, "Content-Type: text/plain\r\n" + headers, "the call failed\n\n");
        }

        private static Function<Received, Answer> refused(int status) {
            return received ->
                    changed(
                            received,
                            "Vanilladoor-Stamp: proof\r\n",
                            "Vanilladoor-Not-Run: 1\r\n",
                            status(status, ""));
        }

        private static Function<Received, Answer> body(int status, String headers, String body) {
            return received -> ScriptedEndpoint.response(received, status, headers, body);
        }

        private static Answer changed(
                Received received, String before, String after, Function<Received, Answer> script) {
            Answer answer = script.apply(received);
            return new Answer(answer.text().replace(before, after), answer.end());
        }
    }
}
