package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import javax.net.ServerSocketFactory;
import javax.net.ssl.SSLContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Creates listening sockets that go on accepting after a failure, accept only as many connections
 * as are allowed, and none once {@link ServerSocket#close} has returned.
 *
 * <p>The system keeps a listening socket open for as long as a thread waits in {@link
 * ServerSocket#accept}; until that thread returns, connections are still established, and nobody
 * serves them. Safe for use by any thread.
 */
final class ListeningSocketFactory extends ServerSocketFactory {
    private static final int DEFAULT_BACKLOG = 50;
    private final SSLContext mTls;
    private final ServerConnections mConnections;

    private ListeningSocketFactory(SSLContext tls, ServerConnections connections) {
        mTls = tls;
        mConnections = connections;
    }

    /**
     * Returns a factory.
     *
     * @param tls TLS context of the accepted connections, or null for plain connections
     * @param connections the connections that are open
     */
    static ListeningSocketFactory create(SSLContext tls, ServerConnections connections) {
        return new ListeningSocketFactory(tls, connections);
    }

    @Override
    public ServerSocket createServerSocket() throws IOException {
        return new ListeningSocket(mTls, mConnections);
    }

    @Override
    public ServerSocket createServerSocket(int port) throws IOException {
        return createServerSocket(port, DEFAULT_BACKLOG);
    }

    @Override
    public ServerSocket createServerSocket(int port, int backlog) throws IOException {
        return createServerSocket(port, backlog, null);
    }

    @Override
    public ServerSocket createServerSocket(int port, int backlog, InetAddress address)
            throws IOException {
        return new ListeningSocket(mTls, mConnections, port, backlog, address);
    }

    /** A listening socket whose {@link #close} waits for the threads in {@link #accept}. */
    private static final class ListeningSocket extends ServerSocket {
        /** Maximum time to wait; a thread leaves {@link #accept} within milliseconds. */
        private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

        private static final Logger LOG = LogManager.getLogger(ListeningSocketFactory.class);
        private final SSLContext mTls;
        private final ServerConnections mConnections;
        private final ReentrantLock mLock = new ReentrantLock();
        private final Condition mReleased = mLock.newCondition();
        private int mAccepting;

        ListeningSocket(SSLContext tls, ServerConnections connections) throws IOException {
            mTls = tls;
            mConnections = connections;
        }

        ListeningSocket(
                SSLContext tls,
                ServerConnections connections,
                int port,
                int backlog,
                InetAddress address)
                throws IOException {
            super(port, backlog, address);
            mTls = tls;
            mConnections = connections;
        }

        @Override
        public Socket accept() throws IOException {
            changeAccepting(1);
            try {
                Socket connection = acceptWithinLimit();
                mConnections.add(connection);
                return secure(connection);
            } finally {
                changeAccepting(-1);
            }
        }

        /** HttpCore would accept no further connection after a failure. */
        private Socket acceptWithinLimit() throws IOException {
            while (true) {
                mConnections.awaitRoom(this::isClosed);
                try {
                    return super.accept();
                } catch (IOException e) {
                    if (isClosed() || Thread.currentThread().isInterrupted()) {
                        throw e;
                    }
                    mConnections.pauseAfter(e);
                } catch (OutOfMemoryError e) {
                    mConnections.pauseAfter(e);
                }
            }
        }

        private Socket secure(Socket connection) throws IOException {
            InputStream nothingRead = null;
            return mTls == null
                    ? connection
                    : mTls.getSocketFactory().createSocket(connection, nothingRead, true);
        }

        @Override
        public void close() throws IOException {
            super.close();
            if (mLock == null) {
                // The constructor of the superclass closes a socket that can't be bound.
                return;
            }
            try {
                awaitRelease();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void changeAccepting(int change) {
            mLock.lock();
            try {
                mAccepting += change;
                mReleased.signalAll();
            } finally {
                mLock.unlock();
            }
        }

        private void awaitRelease() throws InterruptedException {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MILLIS);
            mLock.lockInterruptibly();
            try {
                while (mAccepting > 0 && remainingNanos > 0) {
                    remainingNanos = mReleased.awaitNanos(remainingNanos);
                }
                if (mAccepting > 0) {
                    LOG.warn("http: A closed listening socket is still in use.");
                }
            } finally {
                mLock.unlock();
            }
        }
    }
}
