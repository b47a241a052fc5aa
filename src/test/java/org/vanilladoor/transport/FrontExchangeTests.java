package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/** Guards against a request that is done for its receiver, but has no end that its caller sees. */
@Timeout(60)
class FrontExchangeTests {
    private static final int WAIT_MILLIS = 5_000;
    private static final byte[] EVENT = "data: a\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private final ControlLoop mControl = ControlLoop.start("control");
    private FrontServer mServer;

    @AfterEach
    void stop() {
        mServer.close();
        mControl.close();
    }

    @Test
    void aStreamThatEndsIsComplete() throws Exception {
        String response =
                responseOf(
                        exchange -> {
                            exchange.startStream(ok(), EVENT);
                            exchange.end();
                        });
        assertThat(response).endsWith(LAST_CHUNK);
    }

    @Test
    void aResponseInsideAStreamCutsTheStreamOff() throws Exception {
        String response =
                responseOf(
                        exchange -> {
                            exchange.startStream(ok(), EVENT);
                            exchange.respond(new BasicHttpResponse(500), EVENT);
                        });
        assertThat(response).doesNotContain("500");
        assertThat(response).doesNotContain(LAST_CHUNK);
    }

    @Test
    void aStreamThatOnlyItsConnectionDelimitsIsCutOffWithAReset() throws Exception {
        startServer(
                exchange -> {
                    exchange.startStream(ok(), EVENT);
                    mControl.schedule(Duration.ofMillis(100), exchange::abort);
                });
        try (Socket caller = sendRequest("HTTP/1.0")) {
            assertThrows(SocketException.class, () -> caller.getInputStream().readAllBytes());
        }
    }

    @Test
    void aStreamThatOnlyItsConnectionDelimitsEndsWithIt() throws Exception {
        startServer(
                exchange -> {
                    exchange.startStream(ok(), EVENT);
                    mControl.schedule(Duration.ofMillis(100), exchange::end);
                });
        try (Socket caller = sendRequest("HTTP/1.0")) {
            String response =
                    new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).endsWith("\r\n\r\ndata: a\n\n");
        }
    }

    @Test
    void anEndWithoutAResponseClosesTheConnection() throws Exception {
        assertThat(responseOf(FrontExchange::end)).isEmpty();
    }

    @Test
    void outputWithoutAResponseClosesTheConnection() throws Exception {
        assertThat(responseOf(exchange -> exchange.write(EVENT))).isEmpty();
    }

    @Test
    void aResponseThatCanNotBeSentClosesTheConnection() throws Exception {
        HttpResponse interim = new BasicHttpResponse(HttpStatus.SC_PROCESSING);
        assertThat(responseOf(exchange -> exchange.respond(interim, EVENT))).isEmpty();
    }

    @Test
    void aReceiverThatFailsClosesTheConnection() throws Exception {
        String response =
                responseOf(
                        exchange -> {
                            throw new IllegalStateException("thrown by the test");
                        });
        assertThat(response).isEmpty();
    }

    @Test
    void theOwnerOfAStreamLearnsThatItsCallerLeftTooMuchUnread() throws Exception {
        CountDownLatch disconnected = new CountDownLatch(1);
        startServer(
                exchange -> {
                    exchange.onDisconnect(disconnected::countDown);
                    exchange.startStream(ok(), EVENT);
                    for (int piece = 0; piece < 64; piece++) {
                        exchange.write(new byte[1_024 * 1_024]);
                    }
                });
        try (Socket caller = sendRequest()) {
            assertThat(disconnected.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
    }

    private static HttpResponse ok() {
        return new BasicHttpResponse(HttpStatus.SC_OK);
    }

    private void startServer(Consumer<FrontExchange> receiver) throws IOException {
        mServer =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        MemoryBudget.ofHeap(),
                        8_192,
                        () -> 1_000,
                        receiver);
    }

    private Socket sendRequest() throws IOException {
        return sendRequest("HTTP/1.1");
    }

    private Socket sendRequest(String version) throws IOException {
        Socket caller = new Socket("127.0.0.1", mServer.address().port());
        caller.setSoTimeout(WAIT_MILLIS);
        caller.getOutputStream()
                .write(
                        ("GET / " + version + "\r\nHost: h\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    /** Returns all bytes up to the close of the connection; fails if it stays open. */
    private String responseOf(Consumer<FrontExchange> receiver) throws IOException {
        startServer(receiver);
        StringBuilder response = new StringBuilder();
        try (Socket caller = sendRequest()) {
            for (int next = caller.getInputStream().read(); next >= 0; ) {
                response.append((char) next);
                next = caller.getInputStream().read();
            }
        } catch (SocketException e) {
            // The connection was reset.
            response.append("");
        }
        return response.toString();
    }
}
