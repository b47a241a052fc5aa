package org.vanilladoor.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;

/** Which connections are returned to the pool and which are closed. */
class HttpConnectionPoolTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int SERVICES = 500;
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

    /**
     * Closing the listening socket lets a connection through for as long as the server's thread is
     * still waiting for one, so it takes several services to meet that moment.
     */
    @Test
    void noConnectionIsAcceptedOnceAServiceIsClosed() throws IOException {
        int acceptedAfterClose = 0;
        for (int service = 0; service < SERVICES; service++) {
            HttpService closed =
                    HttpService.start(
                            "closed",
                            new HostPort("127.0.0.1", 0),
                            TIMEOUT,
                            null,
                            exchange -> exchange.respond(200, "text/plain", new byte[0]));
            closed.close();
            acceptedAfterClose += accepts(closed.address()) ? 1 : 0;
        }
        assertThat(acceptedAfterClose).isEqualTo(0);
    }

    private static boolean accepts(HostPort address) throws IOException {
        try (Socket connection = new Socket(address.host(), address.port())) {
            return connection.isConnected();
        } catch (ConnectException e) {
            return false;
        }
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
