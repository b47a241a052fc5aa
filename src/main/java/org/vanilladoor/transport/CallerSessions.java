package org.vanilladoor.transport;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

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
        mSessions.put(session.getRemoteAddress(), decorated);
        return decorated;
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
