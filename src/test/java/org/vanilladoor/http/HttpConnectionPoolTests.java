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

/** Which connections are returned to the pool and which are closed. */
class HttpConnectionPoolTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(TIMEOUT);
    private HttpService mService;

    @BeforeEach
    void startEcho() throws IOException {
        mService =
                HttpService.start(
                        "echo",
                        new HostPort("127.0.0.1", 0),
                        TIMEOUT,
                        null,
                        exchange ->
                                exchange.respond(
                                        200,
                                        "text/plain",
                                        exchange.path().getBytes(StandardCharsets.UTF_8)));
    }

    @AfterEach
    void stopEcho() {
        mConnectionPool.close();
        mService.close();
    }

    private String get(String path) throws IOException {
        try (HttpClientResponse response =
                mConnectionPool.send(mService.address(), HttpClientRequest.get(path), TIMEOUT)) {
            return new String(response.readAll(1_000), StandardCharsets.UTF_8);
        }
    }

    @Test
    void aConnectionThatIsClosedTwiceIsPooledOnce() throws IOException {
        HttpClientResponse first =
                mConnectionPool.send(mService.address(), HttpClientRequest.get("/first"), TIMEOUT);
        first.readAll(1_000);
        first.close();
        first.close();
        HttpClientResponse unread =
                mConnectionPool.send(mService.address(), HttpClientRequest.get("/unread"), TIMEOUT);
        assertThat(get("/other")).isEqualTo("/other");
        unread.close();
    }

    @Test
    void anUnreadResponseIsNotTakenForTheNextResponse() throws IOException {
        mConnectionPool.send(mService.address(), HttpClientRequest.get("/unread"), TIMEOUT).close();
        assertThat(get("/next")).isEqualTo("/next");
    }

    @Test
    void aRefusedConnectionIsReportedAsNotSent() {
        HostPort closedAddress = mService.address();
        mService.close();
        assertThrows(
                NotSentException.class,
                () ->
                        mConnectionPool.send(
                                closedAddress,
                                HttpClientRequest.postOnce("/", new byte[] {'x'}),
                                TIMEOUT));
    }
}
