package org.vanilladoor.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that are valid, although hardly any server writes them in this way. */
@Timeout(60)
class UnusualResponseTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(TIMEOUT);

    @AfterEach
    void close() {
        mConnectionPool.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "a\r\ndone body.\r\n0\r\n\r\n",
                "A\r\ndone body.\r\n0\r\n\r\n",
                "00a\r\ndone body.\r\n000\r\n\r\n",
                "1\r\nd\r\n4\r\none \r\n5\r\nbody.\r\n0\r\n\r\n",
                "a;name=value\r\ndone body.\r\n0;last\r\n\r\n",
                "a ; name=\"a value\"\r\ndone body.\r\n0\r\n\r\n",
                "a\r\ndone body.\r\n0\r\nX-Trailer: value \t\r\nX-Empty:\r\n\r\n"
            })
    void aValidBodyInChunksIsComplete(String body) throws IOException {
        assertIsComplete(OK + "Transfer-Encoding: chunked\r\n\r\n" + body);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Own:",
                "X-Own:value",
                "X-Own:\tvalue \t",
                "X-Own: a value: with blanks,\tand a tab",
                "X-Own: \u00e9\u00ff\u0085\u00a0",
                "!#$%&'*+-.^_`|~09AZaz: value"
            })
    void aValidHeaderIsAccepted(String header) throws IOException {
        assertIsComplete(OK + header + "\r\nContent-Length: 10\r\n\r\ndone body.");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Quite: all right"})
    void aValidStatusLineIsAccepted(String statusLine) throws IOException {
        assertIsComplete(statusLine + "\r\nContent-Length: 10\r\n\r\ndone body.");
    }

    private void assertIsComplete(String bytes) throws IOException {
        try (ScriptedServer server = new ScriptedServer(bytes, "", "");
                HttpClientResponse response =
                        mConnectionPool.send(
                                server.address(), HttpClientRequest.get("/"), TIMEOUT)) {
            assertThat(response.status()).isEqualTo(200);
            assertThat(new String(response.readAll(1_000), StandardCharsets.US_ASCII))
                    .isEqualTo("done body.");
        }
    }
}
