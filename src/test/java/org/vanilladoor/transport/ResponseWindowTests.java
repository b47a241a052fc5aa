package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MemoryBudget.Use;
import org.vanilladoor.common.ThreadPools;

/**
 * Guards against a response that is read beyond its window because its peer sends faster than it is
 * read.
 */
@Timeout(20)
class ResponseWindowTests {
    private static final ExecutorService THREADS = ThreadPools.newDaemonThreadPool("fast-peer");
    private static final int SENT_BYTES = 64 * 1024 * 1024;
    private static final String KILOBYTE = "x".repeat(1_024);
    private static final long CHECK_MILLIS = 200;

    /** The window, and what one read brings. */
    private static final long MAXIMUM_INPUT_BYTES = OutgoingExchange.WINDOW_BYTES + 8 * 1024;

    private final ControlLoop mControl = ControlLoop.start("control");
    private final MemoryBudget mMemory = MemoryBudget.of(2L * SENT_BYTES);
    private final ConnectionPool mConnections =
            ConnectionPool.start(mControl, mMemory, anomaly -> {});
    private final CountDownLatch mHandling = new CountDownLatch(1);
    private final CountDownLatch mEnded = new CountDownLatch(1);
    private final AtomicInteger mReceivedBytes = new AtomicInteger();
    private final AtomicInteger mSentBlocks = new AtomicInteger();
    private ServerSocket mPeer;

    @AfterEach
    void stop() throws IOException {
        mHandling.countDown();
        mConnections.close();
        mControl.close();
        mPeer.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked",
                "Content-Length: 67108864",
                "Connection: close"
            })
    void noMoreThanTheWindowWaitsForTheControlThread(String framing) throws Exception {
        mPeer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        boolean isChunked = framing.startsWith("Transfer");
        THREADS.execute(() -> serve(framing, isChunked));
        BasicHttpRequest request = new BasicHttpRequest("GET", "/");
        request.addHeader("Host", "h");
        HostPort address = new HostPort("127.0.0.1", mPeer.getLocalPort());
        mControl.execute(
                () ->
                        mConnections.send(
                                address,
                                ConnectionUse.ANY,
                                1_000,
                                request,
                                new byte[0],
                                new BlockingListener()));
        // The I/O thread waits for the budget with the first part of the body.
        synchronized (mMemory) {
            awaitStandstill();
        }
        awaitStandstill();
        assertThat(mMemory.heldBytes(Use.RESPONSE_INPUT)).isAtLeast(1);
        assertThat(mMemory.heldBytes(Use.RESPONSE_INPUT)).isAtMost(MAXIMUM_INPUT_BYTES);
        mHandling.countDown();
        mEnded.await();
        assertThat(mReceivedBytes.get()).isEqualTo(SENT_BYTES);
    }

    /** Waits until the peer has sent something, and can send no more. */
    private void awaitStandstill() throws InterruptedException {
        int sentBlocks = 0;
        while (sentBlocks == 0 || sentBlocks != mSentBlocks.get()) {
            sentBlocks = mSentBlocks.get();
            Thread.sleep(CHECK_MILLIS);
        }
    }

    private void serve(String framing, boolean isChunked) {
        try (Socket socket = mPeer.accept()) {
            readHead(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n";
            String block = (isChunked ? "400\r\n" + KILOBYTE + "\r\n" : KILOBYTE).repeat(64);
            // The head comes with a part of the body, so that the first read brings both.
            output.write(ascii(head + block));
            mSentBlocks.incrementAndGet();
            for (int sent = 64 * KILOBYTE.length(); sent < SENT_BYTES; ) {
                output.write(ascii(block));
                sent += 64 * KILOBYTE.length();
                mSentBlocks.incrementAndGet();
            }
            if (isChunked) {
                output.write(ascii("0\r\n\r\n"));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Handles nothing until the test allows it. */
    private final class BlockingListener implements OutgoingListener {
        @Override
        public void onHead(HttpResponse head) {
            try {
                mHandling.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onData(byte[] bytes) {
            mReceivedBytes.addAndGet(bytes.length);
        }

        @Override
        public void onComplete() {
            mEnded.countDown();
        }

        @Override
        public void onFailure(CallFailure failure) {
            mEnded.countDown();
        }
    }
}
