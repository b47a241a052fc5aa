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
 * Creates listening sockets that accept no connection once {@link ServerSocket#close} has returned.
 *
 * <p>The system keeps a listening socket open for as long as a thread waits in {@link
 * ServerSocket#accept}; until that thread returns, connections are still established, and nobody
 * serves them. Safe for use by any thread.
 */
final class ListeningSocketFactory extends ServerSocketFactory {
    private static final int DEFAULT_BACKLOG = 50;
    private final SSLContext mTls;

    private ListeningSocketFactory(SSLContext tls) {
        mTls = tls;
    }

    /**
     * Returns a factory.
     *
     * @param tls TLS context of the accepted connections, or null for plain connections
     */
    static ListeningSocketFactory create(SSLContext tls) {
        return new ListeningSocketFactory(tls);
    }

    @Override
    public ServerSocket createServerSocket() throws IOException {
        return new ListeningSocket(mTls);
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
        return new ListeningSocket(mTls, port, backlog, address);
    }

    /** A listening socket whose {@link #close} waits for the threads in {@link #accept}. */
    private static final class ListeningSocket extends ServerSocket {
        /** Maximum time to wait; a thread leaves {@link #accept} within milliseconds. */
        private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

        private static final Logger LOG = LogManager.getLogger(ListeningSocketFactory.class);
        private final SSLContext mTls;
        private final ReentrantLock mLock = new ReentrantLock();
        private final Condition mReleased = mLock.newCondition();
        private int mAccepting;

        ListeningSocket(SSLContext tls) throws IOException {
            mTls = tls;
        }

        ListeningSocket(SSLContext tls, int port, int backlog, InetAddress address)
                throws IOException {
            super(port, backlog, address);
            mTls = tls;
        }

        @Override
        public Socket accept() throws IOException {
            changeAccepting(1);
            try {
                return secure(super.accept());
            } finally {
                changeAccepting(-1);
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
