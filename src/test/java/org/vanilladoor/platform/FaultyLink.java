package org.vanilladoor.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;

/**
 * A loopback TCP proxy that forwards, delays or drops bytes depending on its state.
 *
 * <p>A connection that once dropped bytes drops all later ones; connections made after the link is
 * healthy again work. Safe for use by any thread.
 */
final class FaultyLink implements AutoCloseable {
    private static final ExecutorService EXECUTOR = ThreadPools.newDaemonThreadPool("faulty-link");
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long SLOW_DELAY_MILLIS = 120;
    private final ServerSocket mServer;
    private final Supplier<HostPort> mTarget;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final Set<Socket> mSilenced = ConcurrentHashMap.newKeySet();
    private volatile State mState = State.HEALTHY;

    private FaultyLink(ServerSocket server, Supplier<HostPort> target) {
        mServer = server;
        mTarget = target;
    }

    /** Starts a link that looks up the target's address for each new connection. */
    static FaultyLink start(Supplier<HostPort> target) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        FaultyLink link = new FaultyLink(server, target);
        EXECUTOR.execute(link::accept);
        return link;
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServer.getLocalPort());
    }

    void setState(State state) {
        mState = state;
        if (state == State.RESET) {
            mSockets.forEach(FaultyLink::reset);
            mSockets.clear();
        }
    }

    /** Lets the connections that are open now drop all later bytes; new ones work. */
    void silenceOpenConnections() {
        mSilenced.addAll(mSockets);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mSockets.forEach(FaultyLink::reset);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket clientSocket = mServer.accept();
                mSockets.add(clientSocket);
                connect(clientSocket);
            } catch (IOException e) {
                // The link was closed.
                return;
            }
        }
    }

    private void connect(Socket clientSocket) {
        if (mState == State.RESET) {
            reset(clientSocket);
            return;
        }
        try {
            HostPort target = mTarget.get();
            Socket targetSocket = new Socket(target.host(), target.port());
            mSockets.add(targetSocket);
            EXECUTOR.execute(() -> copyBytes(clientSocket, targetSocket, State.DROP_REQUEST_BYTES));
            EXECUTOR.execute(
                    () -> copyBytes(targetSocket, clientSocket, State.DROP_RESPONSE_BYTES));
        } catch (IOException e) {
            // A client sees an unreachable target as a reset connection.
            reset(clientSocket);
        }
    }

    /** Copies bytes in one direction; once it has dropped bytes, it drops all later ones. */
    private void copyBytes(Socket from, Socket to, State droppingState) {
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean dropping = false;
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                dropping |= mState == State.SILENT || mState == droppingState;
                dropping |= mSilenced.contains(from);
                // A sender without end must not keep a processor busy while its bytes are dropped.
                if (mState == State.SLOW || dropping) {
                    Thread.sleep(SLOW_DELAY_MILLIS);
                }
                if (!dropping) {
                    output.write(buffer, 0, count);
                    output.flush();
                }
                count = input.read(buffer);
            }
            if (!dropping) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            if (!dropping) {
                reset(to);
                reset(from);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }

    /** What happens to bytes and connections. */
    enum State {
        HEALTHY,
        SLOW,
        /** Bytes in both directions are dropped. */
        SILENT,
        /** Bytes sent to the target are dropped. */
        DROP_REQUEST_BYTES,
        /** Bytes sent by the target are dropped. */
        DROP_RESPONSE_BYTES,
        /** Every connection is reset, including new ones. */
        RESET
    }
}
