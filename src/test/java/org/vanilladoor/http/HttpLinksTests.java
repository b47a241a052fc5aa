package org.vanilladoor.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;

/** How connections are kept and given up. */
class HttpLinksTests {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private final HttpConnectionPool mLinks = HttpConnectionPool.create(LIMIT);
    private HttpService mService;

    @BeforeEach
    void startEcho() throws IOException {
        mService =
                HttpService.start(
                        "echo",
                        new HostPort("127.0.0.1", 0),
                        LIMIT,
                        null,
                        exchange ->
                                exchange.respond(
                                        200,
                                        "text/plain",
                                        exchange.path().getBytes(StandardCharsets.UTF_8)));
    }

    @AfterEach
    void stopEcho() {
        mLinks.close();
        mService.close();
    }

    private String get(String path) throws IOException {
        try (HttpClientResponse reply =
                mLinks.send(mService.address(), HttpClientRequest.get(path), LIMIT)) {
            return new String(reply.readAll(1_000), StandardCharsets.UTF_8);
        }
    }

    @Test
    void aConnectionThatIsClosedTwiceIsKeptOnce() throws IOException {
        HttpClientResponse first =
                mLinks.send(mService.address(), HttpClientRequest.get("/first"), LIMIT);
        first.readAll(1_000);
        first.close();
        first.close();
        HttpClientResponse unread =
                mLinks.send(mService.address(), HttpClientRequest.get("/unread"), LIMIT);
        assertThat(get("/other")).isEqualTo("/other");
        unread.close();
    }

    @Test
    void anAnswerThatWasNotReadToItsEndIsNotTakenForTheNext() throws IOException {
        mLinks.send(mService.address(), HttpClientRequest.get("/unread"), LIMIT).close();
        assertThat(get("/next")).isEqualTo("/next");
    }

    @Test
    void aRefusedConnectionIsToldApart() {
        HostPort nobody = mService.address();
        mService.close();
        assertThrows(
                NotSentException.class,
                () ->
                        mLinks.send(
                                nobody, HttpClientRequest.postOnce("/", new byte[] {'x'}), LIMIT));
    }
}
