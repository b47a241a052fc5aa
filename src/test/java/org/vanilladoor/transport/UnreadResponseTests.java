package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.entry.Eventually;

/** Guards against unread responses that keep the memory from everyone else. */
@Timeout(60)
class UnreadResponseTests {
    /** More than a system buffers for a connection. */
    private static final int BODY_BYTES = 12 * 1024 * 1024;

    private static final int TIMEOUT_MILLIS = 10_000;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final BlockingQueue<FrontExchange> mReceived = new LinkedBlockingQueue<>();
    private final Socket mCaller = new Socket();
    private MemoryBudget mMemory;
    private FrontServer mServer;

    @BeforeEach
    void limitReceiveBuffer() throws IOException {
        mCaller.setReceiveBufferSize(4_096);
    }

    @AfterEach
    void stop() throws IOException {
        mCaller.close();
        mServer.close();
        mControl.close();
    }

    @Test
    void anUnreadResponseIsDroppedOnceMemoryIsShort() throws Exception {
        respondUnread(BODY_BYTES);
        Eventually.within(
                Duration.ofMillis(TIMEOUT_MILLIS),
                "the memory is given back",
                () -> {
                    mServer.closeUnreadIfMemoryIsShort();
                    return mMemory.heldBytes(MemoryBudget.Use.RESPONSE_OUTPUT) == 0;
                });
    }

    @Test
    void aSlowReaderIsLeftAloneWhileThereIsMemory() throws Exception {
        respondUnread(10L * BODY_BYTES);
        long endNanos = System.nanoTime() + Duration.ofMillis(1_500).toNanos();
        while (System.nanoTime() < endNanos) {
            mServer.closeUnreadIfMemoryIsShort();
            Thread.sleep(50);
        }
        mCaller.setSoTimeout(TIMEOUT_MILLIS);
        byte[] response = mCaller.getInputStream().readNBytes(BODY_BYTES);
        assertThat(response).hasLength(BODY_BYTES);
    }

    private void respondUnread(long capacityBytes) throws Exception {
        mMemory = MemoryBudget.of(capacityBytes);
        mServer =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        mMemory,
                        8_192,
                        () -> 1_000,
                        mReceived::add);
        mCaller.connect(new InetSocketAddress("127.0.0.1", mServer.address().port()));
        mCaller.getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        FrontExchange exchange = mReceived.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(exchange).isNotNull();
        exchange.respond(new BasicHttpResponse(200), new byte[BODY_BYTES]);
    }
}
