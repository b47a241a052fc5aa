package org.vanilladoor.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.PortRange;

/** Connections with framed messages, and peers that misuse them. */
@Timeout(30)
class FrameLoopTests {
    private static final String HOST = "127.60.3.1";
    private FrameLoop mLoop;
    private HostPort mAddress;

    @BeforeEach
    void start() throws IOException {
        mLoop = FrameLoop.start("exchange-test");
        mAddress = mLoop.listen(HOST, PortRange.ANY, new Echo());
    }

    @AfterEach
    void stop() {
        mLoop.close();
    }

    @Test
    void messagesArriveWholeAndInOrder() throws Exception {
        Received received = new Received();
        FrameConnection connection = mLoop.connect(mAddress, received);
        for (int i = 0; i < 200; i++) {
            connection.send(text(i));
        }
        for (int i = 0; i < 200; i++) {
            assertThat(received.next()).isEqualTo(new String(text(i), StandardCharsets.UTF_8));
        }
    }

    @Test
    void aMessageThatArrivesByteByByteIsReceived() throws Exception {
        try (Socket socket = new Socket(HOST, mAddress.port())) {
            socket.setTcpNoDelay(true);
            for (byte each : new byte[] {0, 0, 0, 2, 'h', 'i'}) {
                socket.getOutputStream().write(each);
                Thread.sleep(5);
            }
            DataInputStream input = new DataInputStream(socket.getInputStream());
            assertThat(input.readInt()).isEqualTo(2);
        }
    }

    /** A stated length must not become an allocation. */
    @Test
    void aConnectionThatStatesALengthOverTheLimitIsClosed() throws Exception {
        for (int length : new int[] {-1, FrameLoop.MAXIMUM_FRAME_BYTES + 1, Integer.MAX_VALUE}) {
            try (Socket socket = new Socket(HOST, mAddress.port())) {
                new DataOutputStream(socket.getOutputStream()).writeInt(length);
                assertEnds(socket);
            }
        }
    }

    @Test
    void aSilentConnectionIsClosed() throws Exception {
        try (Socket socket = new Socket(HOST, mAddress.port())) {
            assertEnds(socket);
        }
    }

    /** A peer that does not read must not fill the memory; the others are served meanwhile. */
    @Test
    void aConnectionWhosePeerDoesNotReadIsClosed() throws Exception {
        try (Socket socket = new Socket(HOST, mAddress.port())) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            byte[] message = new byte[60_000];
            assertThrows(
                    IOException.class,
                    () -> {
                        for (int i = 0; i < 10_000; i++) {
                            output.writeInt(message.length);
                            output.write(message);
                        }
                    });
        }
        Received received = new Received();
        mLoop.connect(mAddress, received).send(text(1));
        assertThat(received.next()).isEqualTo("message 1");
    }

    @Test
    void connectionsOverTheLimitDoNotEndTheListening() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 540; i++) {
                sockets.add(new Socket(HOST, mAddress.port()));
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        Received received = new Received();
        mLoop.connect(mAddress, received).send(text(1));
        assertThat(received.next()).isEqualTo("message 1");
    }

    @Test
    void aRefusedConnectionIsReported() throws Exception {
        Received received = new Received();
        mLoop.connect(new HostPort(HOST, 1), received).send(text(1));
        assertThat(received.next()).startsWith("closed");
    }

    @Test
    void theFirstFreePortOfTheRangeIsTaken() throws Exception {
        int taken = mAddress.port();
        PortRange range = new PortRange(taken, Math.min(65_535, taken + 20));
        HostPort second = mLoop.listen(HOST, range, new Echo());
        assertThat(second.port()).isGreaterThan(taken);
        assertThrows(
                IOException.class,
                () -> mLoop.listen(HOST, new PortRange(taken, taken), new Echo()));
    }

    private static byte[] text(int number) {
        return ("message " + number).getBytes(StandardCharsets.UTF_8);
    }

    private static void assertEnds(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        int end;
        try {
            end = socket.getInputStream().read();
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("the connection is still open", e);
        } catch (IOException e) {
            end = -1;
        }
        assertThat(end).isEqualTo(-1);
    }

    /** Sends each message back. */
    private static final class Echo implements FrameListener {
        @Override
        public void onMessage(FrameConnection connection, byte[] payload) {
            connection.send(payload);
        }

        @Override
        public void onClosed(FrameConnection connection, String reason) {
            // The tests look at the other end.
        }
    }

    /** Keeps what arrives. */
    private static final class Received implements FrameListener {
        private final BlockingQueue<String> mTexts = new LinkedBlockingQueue<>();

        @Override
        public void onMessage(FrameConnection connection, byte[] payload) {
            mTexts.add(new String(payload, StandardCharsets.UTF_8));
        }

        @Override
        public void onClosed(FrameConnection connection, String reason) {
            mTexts.add("closed: " + reason);
        }

        String next() throws InterruptedException {
            String text = mTexts.poll(10, TimeUnit.SECONDS);
            assertThat(text).isNotNull();
            return text;
        }
    }
}
