package org.vanilladoor.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.io.Closer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.CallerActivity;
import org.vanilladoor.common.MonotonicClock;

/**
 * The open connections of a server, by the caller's address.
 *
 * <p>Invariant: there are at most as many as allowed, if each is preceded by {@link #awaitRoom}.
 * Safe for use by any thread, of which one accepts connections.
 */
final class ServerConnections {
    private static final long POLL_MILLIS = 5;

    /** Minimum interval between log lines about a limit that is reached. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private static final Logger LOG = LogManager.getLogger(ServerConnections.class);
    private final String mLogPrefix;
    private final int mMaximum;
    private final Map<SocketAddress, Connection> mConnections = new ConcurrentHashMap<>();
    private long mNextLogMillis = Long.MIN_VALUE;

    private ServerConnections(String logPrefix, int maximum) {
        mLogPrefix = logPrefix;
        mMaximum = maximum;
    }

    static ServerConnections withMaximum(String logPrefix, int maximum) {
        return new ServerConnections(logPrefix, maximum);
    }

    /**
     * Waits until there is room for a further connection, and closes the one that is the first to
     * go. Further connections meanwhile wait in the system's queue.
     *
     * @param ended whether to stop waiting
     */
    void awaitRoom(BooleanSupplier ended) {
        while (!ended.getAsBoolean() && isFull()) {
            closeFirstCandidate(MonotonicClock.nowMillis());
            pause();
        }
    }

    /** Waits a moment, since accepting has failed for lack of descriptors or memory. */
    void pauseAfter(Throwable failure) {
        log("Accepting a connection failed: " + failure);
        pause();
    }

    void add(Socket socket) {
        SocketAddress address = socket.getRemoteSocketAddress();
        if (address != null) {
            long nowMillis = MonotonicClock.nowMillis();
            mConnections.put(address, new Connection(socket, CallerActivity.openedAt(nowMillis)));
        }
    }

    /** Records that the head of a request was read. */
    void startRequest(HttpConnection connection) {
        find(connection)
                .ifPresent(found -> found.activity().startRequest(MonotonicClock.nowMillis()));
    }

    /** Records that a response was written, and whether its caller has already sent more. */
    void completeResponse(HttpConnection connection) {
        find(connection)
                .ifPresent(
                        found -> {
                            found.activity().completeResponse(MonotonicClock.nowMillis());
                            found.activity().setReadAhead(found.hasInput());
                        });
    }

    private Optional<Connection> find(HttpConnection connection) {
        return Optional.ofNullable(connection.getRemoteAddress()).map(mConnections::get);
    }

    private boolean isFull() {
        if (mConnections.size() >= mMaximum) {
            mConnections.values().removeIf(connection -> connection.socket().isClosed());
        }
        return mConnections.size() >= mMaximum;
    }

    private void closeFirstCandidate(long nowMillis) {
        CallerActivity.firstToClose(
                        mConnections.values(),
                        connection -> connection.activity().candidate(nowMillis))
                .ifPresent(
                        found -> {
                            Closer.closeQuietly(found.connection().socket());
                            log(
                                    "A connection is closed to make room: "
                                            + found.candidate().reason());
                        });
    }

    private void log(String text) {
        long nowMillis = MonotonicClock.nowMillis();
        if (nowMillis >= mNextLogMillis) {
            mNextLogMillis = nowMillis + LOG_INTERVAL_MILLIS;
            LOG.warn("{}: {}; at most {} may be open.", mLogPrefix, text, mMaximum);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** An open connection. */
    private record Connection(Socket socket, CallerActivity activity) {
        boolean hasInput() {
            try {
                return socket.getInputStream().available() > 0;
            } catch (IOException e) {
                return false;
            }
        }
    }
}
