package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.ThreadPools;

/** Peers that respond before they have read the request. */
@Timeout(60)
class EarlyResponseTests {
    private static final ExecutorService THREADS = ThreadPools.newDaemonThreadPool("early-peer");

    /** More than the buffers of a connection hold. */
    private static final int BODY_BYTES = 20_000_000;

    private static final long WAIT_SECONDS = 10;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final ConnectionPool mConnections =
            ConnectionPool.start(mControl, MemoryBudget.ofHeap(), anomaly -> {});
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private ServerSocket mPeer;

    @BeforeEach
    void startPeer() throws IOException {
        mPeer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        THREADS.execute(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        mConnections.close();
        mControl.close();
        mPeer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    @Test
    void aConnectionOnWhichARequestIsStillBeingSentIsNotReused() throws Exception {
        assertThat(send("POST", new byte[BODY_BYTES]).get(WAIT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo("200");
        assertThat(send("GET", new byte[0]).get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("200");
        assertThat(mSockets).hasSize(2);
    }

    private CompletableFuture<String> send(String method, byte[] body) {
        CompletableFuture<String> result = new CompletableFuture<>();
        BasicHttpRequest request = new BasicHttpRequest(method, "/");
        request.addHeader("Host", "h");
        HostPort address = new HostPort("127.0.0.1", mPeer.getLocalPort());
        mControl.execute(
                () ->
                        mConnections.send(
                                address,
                                ConnectionUse.ANY,
                                1_000,
                                request,
                                body,
                                new Listener(result)));
        return result;
    }

    private void accept() {
        while (!mPeer.isClosed()) {
            try {
                Socket socket = mPeer.accept();
                mSockets.add(socket);
                THREADS.execute(() -> respondToHead(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Responds to the first head and reads nothing more. */
    private static void respondToHead(Socket socket) {
        try {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) input.read());
            }
            socket.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                                    .getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    /** Completes with the status of a complete response. */
    private static final class Listener implements OutgoingListener {
        private final CompletableFuture<String> mResult;
        private int mStatus;

        Listener(CompletableFuture<String> result) {
            mResult = result;
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.getCode();
        }

        @Override
        public void onData(byte[] bytes) {
            // The body is not checked.
        }

        @Override
        public void onComplete() {
            mResult.complete(Integer.toString(mStatus));
        }

        @Override
        public void onFailure(CallFailure failure) {
            mResult.complete(failure.reason());
        }
    }
}
