package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Responses whose status line states no status that a response may have. */
@Timeout(60)
class InvalidStatusTests extends GatewayFixture {
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

    private static final String HEADERS =
            "Vanilladoor-Attempt-Id: id-1\r\nVanilladoor-Stamp: proof\r\n"
                    + "Content-Type: text/event-stream\r\n";

    private static final List<String> FRAMED_BODIES =
            List.of(
                    "Content-Length: 34\r\n\r\n" + EVENTS,
                    "Transfer-Encoding: chunked\r\n\r\n22\r\n" + EVENTS + "\r\n0\r\n\r\n",
                    "\r\n" + EVENTS);

    private volatile Answer mAnswer;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "001",
                "010",
                "020",
                "099",
                "600",
                "601",
                "700",
                "900",
                "999",
                "0",
                "2",
                "20",
                "0200",
                "2000",
                "1200",
                "+20",
                "-20",
                "+200",
                "-200",
                "2 0",
                "2.0",
                "2O0",
                "0x1",
                "\u00b2\u00b2\u00b2",
                ""
            })
    void aResponseWithAnInvalidStatusIsNotForwarded(String status) throws IOException {
        endpoint("e", received -> mAnswer);
        for (String framedBody : FRAMED_BODIES) {
            for (String path : List.of("/once/x", "/chat/x")) {
                for (End end : List.of(End.CLOSE, End.KEEP)) {
                    mAnswer =
                            new Answer(
                                    "HTTP/1.1 " + status + " Status\r\n" + HEADERS + framedBody,
                                    end);
                    assertIsRejected(path, "status " + status + ", " + end);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "999", "0100", "+103"})
    void aSuccessAfterAResponseWithAnInvalidStatusIsNotForwarded(String status) throws IOException {
        endpoint("e", received -> mAnswer);
        mAnswer =
                new Answer(
                        "HTTP/1.1 "
                                + status
                                + " Status\r\n\r\nHTTP/1.1 200 OK\r\n"
                                + HEADERS
                                + FRAMED_BODIES.get(0),
                        End.CLOSE);
        assertIsRejected("/once/x", status);
        assertIsRejected("/chat/x", status);
    }

    private void assertIsRejected(String path, String description) throws IOException {
        assertWithMessage("%s: %s", path, description)
                .that(call("POST", path, "body"))
                .startsWith("HTTP/1.1 502");
    }
}
