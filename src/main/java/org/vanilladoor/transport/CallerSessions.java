package org.vanilladoor.transport;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.vanilladoor.common.CallerActivity;
import org.vanilladoor.common.CallerActivity.Reason;
import org.vanilladoor.common.MonotonicClock;

/**
 * The I/O sessions of callers' connections, by the caller's address.
 *
 * <p>HttpCore exposes only the HTTP connection, which does not close immediately; its I/O session
 * does. Safe for use by any thread.
 */
final class CallerSessions implements IOSessionListener {
    private final Map<SocketAddress, CloseDetectingSession> mSessions = new ConcurrentHashMap<>();

    /** Decorates a session with the detection of a close by the caller. */
    IOSession decorate(IOSession session) {
        CloseDetectingSession decorated = CloseDetectingSession.of(session);
        SocketAddress address = session.getRemoteAddress();
        // A caller that has already left may have no address; its session ends by itself.
        if (address != null) {
            mSessions.put(address, decorated);
        }
        return decorated;
    }

    /**
     * Closes the connection that is the first to go when there is no room, if there is one.
     *
     * @return why it was closed
     */
    Optional<CallerActivity.Candidate> closeFirstCandidate(long nowMillis) {
        Optional<CallerActivity.Closable<CloseDetectingSession>> first =
                CallerActivity.firstToClose(
                        mSessions.values(), session -> candidate(session, nowMillis));
        first.ifPresent(found -> found.connection().close(CloseMode.IMMEDIATE));
        return first.map(CallerActivity.Closable::candidate);
    }

    /**
     * Closes the connections whose callers leave a response unread.
     *
     * @return how many there were
     */
    int closeUnread(long nowMillis) {
        int count = 0;
        for (CloseDetectingSession session : mSessions.values()) {
            boolean isUnread =
                    candidate(session, nowMillis)
                            .filter(each -> each.reason() == Reason.UNREAD_RESPONSE)
                            .isPresent();
            if (isUnread) {
                session.close(CloseMode.IMMEDIATE);
                count++;
            }
        }
        return count;
    }

    private static Optional<CallerActivity.Candidate> candidate(
            CloseDetectingSession session, long nowMillis) {
        return session.isOpen() ? session.activity().candidate(nowMillis) : Optional.empty();
    }

    /** Returns what the connection from an address has done; nothing if it has already ended. */
    CallerActivity activityAt(SocketAddress address) {
        CloseDetectingSession session = address == null ? null : mSessions.get(address);
        return session == null
                ? CallerActivity.openedAt(MonotonicClock.nowMillis())
                : session.activity();
    }

    CloseDetectingSession find(HttpConnection connection) {
        return mSessions.get(connection.getRemoteAddress());
    }

    @Override
    public void disconnected(IOSession session) {
        // A closed session no longer has a remote address that could serve as the key.
        mSessions.values().removeIf(decorated -> !decorated.isOpen());
    }

    @Override
    public void connected(IOSession session) {
        // The session was already added by decorate().
    }

    @Override
    public void startTls(IOSession session) {
        // Not used.
    }

    @Override
    public void inputReady(IOSession session) {
        // Not used.
    }

    @Override
    public void outputReady(IOSession session) {
        // Not used.
    }

    @Override
    public void timeout(IOSession session) {
        // Not used.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // HttpCore passes the exception to the exchange handler.
    }
}
