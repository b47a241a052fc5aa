package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Response heads that are not one whole head of the request's own response. */
@Timeout(120)
class AmbiguousHeadTests extends GatewayFixture {
    private static final String REST = "Content-Length: 0\r\nX-First: 1\r\nX-Last: 2\r\n\r\n";

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 304})
    void aHeadThatIsCutOffIsNotForwarded(int status) throws IOException {
        String whole = ScriptedEndpoint.head(new Received("", ""), status) + REST;
        for (int missing = 1; missing < whole.length(); missing++) {
            assertCutOffHeadIsNotForwarded(status, missing);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"+4", "-1", "0x4", "4,4", "4 4", "\t"})
    void aBodyWhoseLengthIsNoPlainNumberIsNotForwarded(String length) throws IOException {
        endpoint(
                "e",
                received ->
                        new Answer(
                                ScriptedEndpoint.head(received, 200)
                                        + "Content-Length: "
                                        + length
                                        + "\r\n\r\ndone",
                                End.KEEP));
        assertWithMessage(length).that(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void aHeadWithTwoIdentifiersIsNotForwarded() throws IOException {
        endpoint(
                "e",
                received ->
                        ScriptedEndpoint.response(
                                received, 200, "Vanilladoor-Attempt-Id: other\r\n", "done"));
        assertWithMessage("two identifiers")
                .that(call("POST", "/once/x", "body"))
                .startsWith("HTTP/1.1 502");
    }

    @Test
    void aHeadWithTwoSignaturesIsNotForwarded() throws IOException {
        endpoint(
                "e",
                received ->
                        ScriptedEndpoint.response(
                                received, 200, "Vanilladoor-Stamp: other\r\n", "done"));
        assertWithMessage("two signatures")
                .that(call("POST", "/once/x", "body"))
                .startsWith("HTTP/1.1 502");
    }

    @ParameterizedTest
    @CsvSource({
        "/once/x, Content-Length: 4",
        "/once/x, Transfer-Encoding: chunked",
        "/once/x, X-Own: 1",
        "/safe/x, Content-Length: 4",
        "/chat/x, Transfer-Encoding: chunked",
        "/chat/x, Content-Type: text/event-stream",
        "/resume/x, Transfer-Encoding: chunked"
    })
    void aHeadThatIsCutOffIsNoSuccessOnAnyRoute(String path, String header) throws IOException {
        String rest = header + "\r\n\r\n";
        int wholeLength = ScriptedEndpoint.head(new Received("", ""), 200).length() + rest.length();
        for (int missing = 1; missing < wholeLength; missing++) {
            int cut = missing;
            ScriptedEndpoint endpoint =
                    endpoint(
                            "e",
                            received -> {
                                String head = ScriptedEndpoint.head(received, 200) + rest;
                                int length = Math.max(0, head.length() - cut);
                                return new Answer(head.substring(0, length), End.CLOSE);
                            });
            assertWithMessage("%s bytes missing", missing)
                    .that(call("POST", path, "body"))
                    .startsWith("HTTP/1.1 50");
            endpoint.close();
        }
    }

    private void assertCutOffHeadIsNotForwarded(int status, int missing) throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received -> {
                            String head = ScriptedEndpoint.head(received, status) + REST;
                            return new Answer(
                                    head.substring(0, Math.max(0, head.length() - missing)),
                                    End.CLOSE);
                        });
        assertWithMessage("status %s, %s bytes missing", status, missing)
                .that(call("POST", "/once/x", "body"))
                .startsWith("HTTP/1.1 502");
        endpoint.close();
    }
}
