package org.vanilladoor.http;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.transport.HeaderNameFault;

/** Servers that send lines in a head, a chunk's size or the trailers that are not valid. */
@Timeout(60)
class MalformedLineTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String OK = "HTTP/1.1 200 OK\r\nServer: s\r\nX-Own: 1\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNK = "\r\n4\r\ndone\r\n0\r\n";
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(TIMEOUT);

    @AfterEach
    void close() {
        mConnectionPool.close();
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aHeadWithAnInvalidHeaderNameIsNoResponse(HeaderNameFault fault) throws IOException {
        for (char invalid : HeaderNameFault.INVALID_CHARACTERS) {
            for (String name : List.of("Server", "X-Own", "Content-Length")) {
                String response = OK + "Content-Length: 4\r\nX-Last: 2\r\n\r\ndone";
                assertFails(fault, response, name, invalid);
            }
            for (String name : List.of("X-Own", "Transfer-Encoding")) {
                assertFails(fault, OK + CHUNKED + CHUNK + "\r\n", name, invalid);
            }
            assertFails(fault, OK + "\r\ndone", "X-Own", invalid);
        }
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void anInterimResponseWithAnInvalidHeaderNameFailsTheCall(HeaderNameFault fault)
            throws IOException {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\nX-Interim: 1\r\n\r\n";
        String response = interim + OK + "Content-Length: 4\r\n\r\ndone";
        for (char invalid : HeaderNameFault.INVALID_CHARACTERS) {
            assertFails(fault, response, "X-Interim", invalid);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\0", "a\0b", "\u0001", "a\u001B", "\u007F"})
    void aHeadWithAControlCharacterInAValueIsNoResponse(String value) throws IOException {
        String response = OK + "X-Last: " + value + "\r\nContent-Length: 4\r\n\r\ndone";
        assertIsNoResponse(response, "a control character in a value");
    }

    @ParameterizedTest
    @EnumSource(HeaderNameFault.class)
    void aBodyWithAnInvalidNameInItsTrailersIsNotComplete(HeaderNameFault fault)
            throws IOException {
        String response = OK + CHUNKED + CHUNK + "Expires: never\r\nX-Trailer: 1\r\n\r\n";
        for (char invalid : HeaderNameFault.INVALID_CHARACTERS) {
            assertFails(fault, response, "X-Trailer", invalid);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "001", "099", "600", "900", "999", "0200", "2000", "20", "+20", "-20", "2 0",
                ""
            })
    void aHeadWithAnInvalidStatusIsNoResponse(String status) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n";
        String response = OK + "Content-Length: 4\r\n\r\ndone";
        assertIsNoResponse(head + "Content-Length: 4\r\n\r\ndone", status);
        assertIsNoResponse(head + "\r\n" + response, status + " before a success");
    }

    @ParameterizedTest
    @ValueSource(strings = {"+4", "-4", " 4", "4 ", "0x4", "4\u000B", ""})
    void aBodyWithAnInvalidSizeOfAChunkIsNotComplete(String size) throws IOException {
        String response = OK + CHUNKED + "\r\n" + size + "\r\ndone\r\n0\r\n\r\n";
        assertIsNoResponse(response, "size " + size);
    }

    @Test
    void aHeadWithPartOfALineEndAnywhereIsNoResponse() throws IOException {
        String response = OK + "Content-Length: 4\r\n\r\ndone";
        int endOfHead = response.indexOf("done");
        for (String insertion : List.of("\n", "\r")) {
            for (int index = 1; index < endOfHead - 1; index++) {
                assertIsNoResponse(
                        response.substring(0, index) + insertion + response.substring(index),
                        "end of a line at " + index);
            }
        }
    }

    private void assertFails(HeaderNameFault fault, String response, String name, char invalid)
            throws IOException {
        assertIsNoResponse(fault.applyIn(response, name, invalid), fault.describe(name, invalid));
    }

    private void assertIsNoResponse(String bytes, String description) throws IOException {
        try (ScriptedServer server = new ScriptedServer(bytes, "", "")) {
            server.closeAfterFirst();
            assertWithMessage(description).that(get(server)).isEqualTo("failure");
        }
    }

    private String get(ScriptedServer server) {
        try (HttpClientResponse response =
                mConnectionPool.send(server.address(), HttpClientRequest.get("/"), TIMEOUT)) {
            String body = new String(response.readAll(1_000), StandardCharsets.UTF_8);
            return response.status() + " " + body;
        } catch (IOException e) {
            return "failure";
        }
    }
}
