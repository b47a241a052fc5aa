package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Responses whose head contains lines that are not valid. */
@Timeout(60)
class HeadLineTests extends GatewayFixture {
    private static final int DELETE = 0x7F;
    private static final String EVENT = "id: 1\ndata: one\n\n";

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nVanilladoor-Attempt-Id: id-1\r\nVanilladoor-Stamp: proof\r\n"
                    + "Content-Type: text/event-stream\r\nX-Own: 1\r\n";

    private static final List<String> FRAMED_BODIES =
            List.of(
                    "Content-Length: 17\r\n\r\n" + EVENT,
                    "Transfer-Encoding: chunked\r\n\r\n11\r\n" + EVENT + "\r\n0\r\n\r\n",
                    "\r\n" + EVENT);

    private volatile String mResponse = "";

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r", "\n\r", "\r\r\n", "\n\n", "\r\r"})
    void aHeadWithAnotherEndOfALineIsNotForwarded(String lineEnd) throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (String body : FRAMED_BODIES) {
            String whole = HEAD + body;
            int endOfHead = whole.indexOf("\r\n\r\n") + 4;
            int index = whole.indexOf("\r\n");
            while (index >= 0 && index < endOfHead) {
                mResponse = whole.substring(0, index) + lineEnd + whole.substring(index + 2);
                assertIsRejected("/once/x", index);
                assertIsRejected("/chat/x", index);
                index = whole.indexOf("\r\n", index + 2);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(chars = {'\n', '\r'})
    void aHeadWithPartOfALineEndAnywhereIsNotForwarded(char insertion) throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (String body : FRAMED_BODIES) {
            String whole = HEAD + body;
            int endOfHead = whole.indexOf("\r\n\r\n") + 4;
            // A line feed before the last one would be the first byte of the body.
            for (int index = 1; index < endOfHead - 1; index++) {
                mResponse = whole.substring(0, index) + insertion + whole.substring(index);
                assertIsRejected("/once/x", index);
                assertIsRejected("/chat/x", index);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {" ", "\t", " \t ", " continued", "\tX-Other: 1", " Content-Length: 3"})
    void aHeadWithALineThatBeginsWithABlankIsNotForwarded(String line) throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (String body : FRAMED_BODIES) {
            String whole = HEAD + body;
            int endOfHead = whole.indexOf("\r\n\r\n") + 4;
            int index = whole.indexOf("\r\n") + 2;
            while (index >= 2 && index < endOfHead) {
                mResponse = whole.substring(0, index) + line + "\r\n" + whole.substring(index);
                assertIsRejected("/once/x", index);
                assertIsRejected("/chat/x", index);
                index = whole.indexOf("\r\n", index) + 2;
            }
        }
    }

    @Test
    void aHeadWithAControlCharacterInAValueIsNotForwarded() throws IOException {
        endpoint("e", received -> new Answer(mResponse, End.CLOSE));
        for (String body : FRAMED_BODIES) {
            for (int invalid = 0; invalid <= DELETE; invalid++) {
                if (invalid != '\t' && (invalid < ' ' || invalid == DELETE)) {
                    for (String value : List.of("%c1", "1%c1", "1%c", "%c")) {
                        String header = "X-Own: " + String.format(value, invalid);
                        mResponse = HEAD.replace("X-Own: 1", header) + body;
                        assertIsRejected("/once/x", invalid);
                        assertIsRejected("/chat/x", invalid);
                    }
                }
            }
        }
    }

    private void assertIsRejected(String path, int change) throws IOException {
        String response = call("POST", path, "body");
        assertWithMessage("%s, change %s", path, change).that(response).startsWith("HTTP/1.1 502");
    }
}
