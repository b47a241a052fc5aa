package org.vanilladoor.transport;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * The sessions below callers' connections, by the caller's address.
 *
 * <p>HttpCore hands out connections, which close in their own time; their sessions close at once.
 * Safe for use by any thread.
 */
final class CallerSessions implements IOSessionListener {
    private final Map<SocketAddress, WatchedSession> mSessions = new ConcurrentHashMap<>();

    /** Returns the session to use in place of the given one. */
    IOSession watch(IOSession session) {
        WatchedSession watched = WatchedSession.of(session);
        mSessions.put(session.getRemoteAddress(), watched);
        return watched;
    }

    WatchedSession of(HttpConnection connection) {
        return mSessions.get(connection.getRemoteAddress());
    }

    @Override
    public void disconnected(IOSession session) {
        // A closed session no longer knows the caller's address.
        mSessions.values().removeIf(watched -> !watched.isOpen());
    }

    @Override
    public void connected(IOSession session) {
        // Noted when it was decorated.
    }

    @Override
    public void startTls(IOSession session) {
        // Nothing to note.
    }

    @Override
    public void inputReady(IOSession session) {
        // Nothing to note.
    }

    @Override
    public void outputReady(IOSession session) {
        // Nothing to note.
    }

    @Override
    public void timeout(IOSession session) {
        // Nothing to note.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // The exchange hears of it.
    }
}
