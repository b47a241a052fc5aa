package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/** Guards against an error in one connection that ends all connections of the process. */
@Timeout(60)
class ErrorBarrierTests {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final AtomicInteger mRequests = new AtomicInteger();
    private FrontServer mServer;

    @AfterEach
    void stop() {
        mServer.close();
        mControl.close();
    }

    @Test
    void onlyTheConnectionWhoseHandlingFailsIsClosed() throws IOException {
        mServer =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        MemoryBudget.ofHeap(),
                        8_192,
                        this::failOnceWithoutMemory,
                        exchange -> exchange.respond(new BasicHttpResponse(200), new byte[0]));
        try (Socket other = connect();
                Socket failing = connect()) {
            send(failing);
            assertThrows(SocketException.class, () -> failing.getInputStream().read());
            send(other);
            assertThat(new String(other.getInputStream().readNBytes(12), StandardCharsets.US_ASCII))
                    .isEqualTo("HTTP/1.1 200");
        }
        assertThat(mServer.isRunning()).isTrue();
    }

    /** Supplies the maximum size of a body, on the thread that handles all connections. */
    private int failOnceWithoutMemory() {
        if (mRequests.getAndIncrement() == 0) {
            throw new OutOfMemoryError("thrown by the test");
        }
        return 1_000;
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket("127.0.0.1", mServer.address().port());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        return caller;
    }

    private static void send(Socket caller) throws IOException {
        caller.getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
}
