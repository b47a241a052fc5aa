package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;
import org.vanilladoor.transport.HeaderNameFault;

/** Responses in whose head the name of a header contains a blank or a control character. */
@Timeout(120)
class MalformedHeaderNameTests extends GatewayFixture {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String IDENTIFIER = "Vanilladoor-Attempt-Id: id-1\r\n";
    private static final String SIGNATURE = "Vanilladoor-Stamp: proof\r\n";
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

    private static final String HEADERS =
            "Date: today\r\n"
                    + IDENTIFIER
                    + SIGNATURE
                    + "Vanilladoor-Load: 1,0,8\r\n"
                    + "Content-Type: text/event-stream\r\n"
                    + "Connection: close\r\n"
                    + "Server-Leaving: 0\r\n"
                    + "X-Own: 1\r\n";

    private static final List<String> HEADER_NAMES =
            List.of(
                    "Date",
                    "Vanilladoor-Attempt-Id",
                    "Vanilladoor-Stamp",
                    "Vanilladoor-Load",
                    "Content-Type",
                    "Connection",
                    "Server-Leaving",
                    "X-Own");

    private final List<String> mForwarded = new ArrayList<>();
    private volatile String mResponse = "";

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aSuccessWithAnInvalidHeaderNameIsNotForwarded(HeaderNameFault fault) throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (Framing framing : Framing.values()) {
            String response = OK + HEADERS + framing.mHeader + "\r\n" + framing.encode(EVENTS);
            for (String name : framing.headerNames()) {
                for (char invalid : charactersFor(name)) {
                    mResponse = fault.applyIn(response, name, invalid);
                    String description = framing + ": " + fault.describe(name, invalid);
                    recordUnlessRejected("/once/x", description);
                    recordUnlessRejected("/chat/x", description);
                }
            }
        }
        assertThat(mForwarded).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aSuccessWhoseFirstHeaderHasAnInvalidNameIsNotForwarded(HeaderNameFault fault)
            throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (String header : List.of("Content-Length: 34\r\n", IDENTIFIER, "X-Own: 1\r\n")) {
            String rest = (HEADERS + "Content-Length: 34\r\n").replace(header, "");
            String name = header.substring(0, header.indexOf(':'));
            for (char invalid : charactersFor(name)) {
                mResponse = OK + fault.applyIn(header, name, invalid) + rest + "\r\n" + EVENTS;
                recordUnlessRejected("/once/x", fault.describe(name, invalid));
                recordUnlessRejected("/chat/x", fault.describe(name, invalid));
            }
        }
        assertThat(mForwarded).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aRefusalWithAnInvalidHeaderNameIsNoRefusal(HeaderNameFault fault) throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        String refusal =
                "HTTP/1.1 503 Full\r\nDate: today\r\n"
                        + IDENTIFIER
                        + "Vanilladoor-Not-Run: 1\r\n"
                        + "Content-Length: 0\r\n";
        for (String name :
                List.of("Vanilladoor-Attempt-Id", "Vanilladoor-Not-Run", "Content-Length")) {
            for (char invalid : charactersFor(name)) {
                mResponse = fault.applyIn(refusal, name, invalid) + "\r\n";
                recordUnlessRejected("/once/x", fault.describe(name, invalid));
            }
        }
        assertThat(mForwarded).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aSuccessAfterAnInterimResponseWithAnInvalidHeaderNameIsNotForwarded(HeaderNameFault fault)
            throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        String interim = "HTTP/1.1 103 Early Hints\r\nDate: today\r\nLink: x\r\n\r\n";
        String response = OK + HEADERS + Framing.LENGTH.mHeader + "\r\n" + EVENTS;
        for (String name : List.of("Date", "Link")) {
            for (char invalid : charactersFor(name)) {
                mResponse = fault.applyIn(interim, name, invalid) + response;
                recordUnlessRejected("/once/x", fault.describe(name, invalid));
                recordUnlessRejected("/chat/x", fault.describe(name, invalid));
            }
        }
        assertThat(mForwarded).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aSuccessWithAnInvalidNameInItsTrailersIsNotForwarded(HeaderNameFault fault)
            throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        String start = OK + HEADERS + Framing.CHUNKED.mHeader + "\r\n22\r\n" + EVENTS + "\r\n0\r\n";
        String trailers = "Expires: never\r\nVanilladoor-Not-Run: 1\r\n";
        for (String name : List.of("Expires", "Vanilladoor-Not-Run")) {
            for (char invalid : charactersFor(name)) {
                mResponse = start + fault.applyIn(trailers, name, invalid) + "\r\n";
                recordUnlessRejected("/once/x", fault.describe(name, invalid));
                String stream = call("POST", "/chat/x", "body");
                if (stream.endsWith("\r\n0\r\n\r\n")) {
                    mForwarded.add("stream: " + fault.describe(name, invalid));
                }
            }
        }
        assertThat(mForwarded).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aPrefillResponseWithAnInvalidHeaderNameNamesNoKvCache(HeaderNameFault fault)
            throws IOException {
        ScriptedEndpoint decode =
                endpoint("e", received -> new Answer(OK + HEADERS + "\r\n" + EVENTS, End.CLOSE));
        String prefilled =
                OK
                        + "Date: today\r\n"
                        + IDENTIFIER
                        + "Content-Length: 18\r\n\r\n{\"kv_handle\":\"h1\"}";
        for (String name : List.of("Vanilladoor-Attempt-Id", "Content-Length")) {
            for (char invalid : HeaderNameFault.SOME_INVALID_CHARACTERS) {
                String response = fault.applyIn(prefilled, name, invalid);
                prefillAt(response, "engine with " + fault.describe(name, invalid));
            }
        }
        assertThat(decode.received()).isNotEmpty();
        for (Received run : decode.received()) {
            assertThat(run.header("vanilladoor-kv-from")).isEmpty();
        }
    }

    /** Sends a request with a long prompt, which a further engine prefills with this response. */
    private void prefillAt(String response, String engineName) throws IOException {
        ScriptedEndpoint engine =
                endpoint(
                        engineName,
                        EngineRole.PREFILL,
                        received -> new Answer(response, End.CLOSE));
        send(
                "POST",
                "/chat/x",
                "body",
                "secret",
                "Vanilladoor-Token-Count: 6000,2\r\nVanilladoor-Prompt-Prefix: a:6000\r\n");
        removeEntry(engineName);
        assertWithMessage(engineName).that(engine.received()).hasSize(1);
    }

    /** All characters for one of the names, which are treated alike otherwise. */
    private static List<Character> charactersFor(String name) {
        return name.equals("X-Own")
                ? HeaderNameFault.INVALID_CHARACTERS
                : HeaderNameFault.SOME_INVALID_CHARACTERS;
    }

    private void recordUnlessRejected(String path, String description) throws IOException {
        String response = call("POST", path, "body");
        if (!response.startsWith("HTTP/1.1 502")) {
            mForwarded.add(path + " " + description + ": " + response);
        }
    }

    /** How a response delimits its body. */
    private enum Framing {
        LENGTH("Content-Length", "Content-Length: 34\r\n"),
        CHUNKED("Transfer-Encoding", "Transfer-Encoding: chunked\r\n"),
        END_OF_CONNECTION("", "");

        private final String mName;
        private final String mHeader;

        Framing(String name, String header) {
            mName = name;
            mHeader = header;
        }

        List<String> headerNames() {
            List<String> names = new ArrayList<>(HEADER_NAMES);
            if (!mName.isEmpty()) {
                names.add(mName);
            }
            return names;
        }

        String encode(String body) {
            return this == CHUNKED ? "22\r\n" + body + "\r\n0\r\n\r\n" : body;
        }
    }
}
