package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Locale;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Response heads that are valid, although hardly any endpoint writes them in this way. */
@Timeout(60)
class UnusualHeadTests extends GatewayFixture {
    private static final String EVENT = "id: 1\ndata: one\n\n";

    private static final String[] HEADERS = {
        "Vanilladoor-Attempt-Id: id-1",
        "Vanilladoor-Stamp: proof",
        "Content-Type: text/event-stream"
    };

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Own:",
                "X-Own: ",
                "X-Own:value",
                "X-Own:   value",
                "X-Own: value   ",
                "X-Own:\tvalue\t",
                "X-Own: a value: with blanks,\tand a tab",
                "X-Own: \u00e9\u00ff\u0085\u00a0",
                "!#$%&'*+-.^_`|~09AZaz: value",
                "x: value",
                "X-Own: HTTP/1.1",
                "Content-Length: 17",
                "Content-Length:17",
                "Content-Length: 17 \t",
                "content-length: 17"
            })
    void aValidHeaderIsAccepted(String header) throws IOException {
        String length =
                header.toLowerCase(Locale.ROOT).startsWith("content-length")
                        ? ""
                        : "Content-Length: 17";
        endpoint("e", received -> new Answer(response(header, length, EVENT), End.KEEP));
        assertIsForwarded();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked",
                "Transfer-Encoding:chunked",
                "Transfer-Encoding: chunked \t",
                "transfer-encoding: Chunked"
            })
    void aValidEncodingIsAccepted(String header) throws IOException {
        String body = "11\r\n" + EVENT + "\r\n0\r\nX-Trailer: value \t\r\nX-Empty:\r\n\r\n";
        endpoint("e", received -> new Answer(response(header, "", body), End.KEEP));
        assertIsForwarded();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Quite: all right"})
    void aValidStatusLineIsAccepted(String statusLine) throws IOException {
        String rest = response("X-Own: value", "Content-Length: 17", EVENT);
        String response = rest.replace("HTTP/1.1 200 OK", statusLine);
        endpoint("e", received -> new Answer(response, End.KEEP));
        assertIsForwarded();
    }

    private void assertIsForwarded() throws IOException {
        String plain = call("POST", "/once/x", "body");
        assertThat(plain).startsWith("HTTP/1.1 200");
        assertThat(plain).endsWith("\r\n\r\n" + EVENT);
        String stream = call("POST", "/chat/x", "body");
        assertThat(stream).startsWith("HTTP/1.1 200");
        assertThat(stream).endsWith(EVENT + "\r\n0\r\n\r\n");
    }

    private static String response(String header, String secondHeader, String body) {
        return "HTTP/1.1 200 OK\r\n"
                + String.join("\r\n", HEADERS)
                + "\r\n"
                + header
                + "\r\n"
                + (secondHeader.isEmpty() ? "" : secondHeader + "\r\n")
                + "\r\n"
                + body;
    }
}
