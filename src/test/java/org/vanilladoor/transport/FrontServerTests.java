package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/**
 * Guards against a planned stop that cuts requests which have just been accepted: their body is
 * still on its way, the control thread has not seen them yet, or their response is not yet written.
 */
class FrontServerTests {
    private static final long GRACE_MILLIS = 5_000;
    private static final long WAIT_SECONDS = 20;
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
    private final ControlLoop mControl = ControlLoop.start("control");
    private final byte[] mResponse = new byte[512 * 1_024];
    private FrontServer mServer;

    @AfterEach
    void stop() {
        mServer.close();
        mControl.close();
    }

    @Test
    void aRequestWhoseBodyIsOnItsWayIsServedDuringAStop() throws Exception {
        mServer = startServer();
        try (Socket caller = connect()) {
            send(caller, HEAD + "bo");
            awaitOpenExchange();
            CompletableFuture<Void> stopped = stopServer();
            send(caller, "dy");
            assertWholeResponse(caller);
            stopped.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    void aRequestThatTheControlThreadHasNotSeenIsServedDuringAStop() throws Exception {
        mServer = startServer();
        CountDownLatch released = new CountDownLatch(1);
        mControl.execute(() -> awaitUninterruptibly(released));
        try (Socket caller = connect()) {
            send(caller, HEAD + "body");
            awaitOpenExchange();
            CompletableFuture<Void> stopped = stopServer();
            released.countDown();
            assertWholeResponse(caller);
            stopped.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    void aStopDoesNotWaitForIdleConnections() throws Exception {
        mServer = startServer();
        try (Socket caller = connect()) {
            send(caller, HEAD + "body");
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            caller.getInputStream().readNBytes(mResponse.length);
            mServer.stop(Duration.ofMillis(GRACE_MILLIS));
            assertThat(mServer.openExchanges()).isEqualTo(0);
        }
    }

    private FrontServer startServer() throws IOException {
        return FrontServer.start(
                new HostPort("127.0.0.1", 0),
                mControl,
                MemoryBudget.ofHeap(),
                8_192,
                () -> 1_000,
                exchange -> exchange.respond(new BasicHttpResponse(200), mResponse));
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket("127.0.0.1", mServer.address().port());
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return caller;
    }

    private CompletableFuture<Void> stopServer() {
        return CompletableFuture.runAsync(() -> mServer.stop(Duration.ofMillis(GRACE_MILLIS)));
    }

    private void awaitOpenExchange() {
        while (mServer.openExchanges() == 0) {
            Thread.onSpinWait();
        }
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().flush();
    }

    private void assertWholeResponse(Socket caller) throws IOException {
        byte[] response = caller.getInputStream().readAllBytes();
        String text = new String(response, StandardCharsets.ISO_8859_1);
        assertThat(text).startsWith("HTTP/1.1 200");
        assertThat(text.length() - text.indexOf("\r\n\r\n") - 4).isEqualTo(mResponse.length);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
