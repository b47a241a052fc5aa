package org.vanilladoor.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;

/**
 * A peer that responds as soon as it has read the head of a request, and resets the connection
 * while the body is still being written.
 *
 * <p>Safe for use by any thread; serves each connection on a thread of its own.
 */
public final class ResettingPeer implements AutoCloseable {
    private static final ExecutorService THREADS = ThreadPools.newDaemonThreadPool("reset-peer");

    /** Small enough that most of a body is still to be written when the connection is reset. */
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

    private final ServerSocket mServer = new ServerSocket();
    private final String mResponse;
    private final Reset mReset;
    private final AtomicInteger mResponses = new AtomicInteger();

    private ResettingPeer(String response, Reset reset) throws IOException {
        mResponse = response;
        mReset = reset;
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    /** Starts a peer that gives each request the same response. */
    public static ResettingPeer start(String response, Reset reset) throws IOException {
        ResettingPeer peer = new ResettingPeer(response, reset);
        THREADS.execute(peer::accept);
        return peer;
    }

    /** Returns the address at which the peer listens. */
    public HostPort address() {
        return new HostPort("127.0.0.1", mServer.getLocalPort());
    }

    /** Returns the number of responses that the peer has begun to send. */
    public int responseCount() {
        return mResponses.get();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                THREADS.execute(() -> respondAndReset(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void respondAndReset(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            mResponses.incrementAndGet();
            socket.getOutputStream().write(mResponse.getBytes(StandardCharsets.US_ASCII));
            input.skipNBytes(mReset.mReadBytes);
            Thread.sleep(mReset.mPauseMillis);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** When the peer resets the connection, after its response. */
    public enum Reset {
        AT_ONCE(0, 0),
        AFTER_A_MOMENT(0, 1),
        AFTER_A_PAUSE(0, 50),
        AFTER_SOME_OF_THE_BODY(20_000, 0),
        AFTER_MUCH_OF_THE_BODY(500_000, 5);

        private final int mReadBytes;
        private final long mPauseMillis;

        Reset(int readBytes, long pauseMillis) {
            mReadBytes = readBytes;
            mPauseMillis = pauseMillis;
        }
    }
}
