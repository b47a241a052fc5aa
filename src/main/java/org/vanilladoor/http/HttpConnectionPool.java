package org.vanilladoor.http;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.vanilladoor.common.HostPort;

/**
 * Sends HTTP requests over connections that are pooled for reuse.
 *
 * <p>Invariants: a request is sent at most once and never retried here; a connection is reused only
 * after its last response was read to the end, and only if nothing has followed that response. Safe
 * for use by any thread; calls block.
 */
public final class HttpConnectionPool implements AutoCloseable {
    private static final int MAXIMUM_IDLE_PER_ADDRESS = 64;
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 4_000;
    private final Duration mConnectTimeout;
    private final HttpRequestExecutor mExecutor = new HttpRequestExecutor();
    private final Map<HostPort, ConcurrentLinkedDeque<PooledConnection>> mIdleConnections =
            new ConcurrentHashMap<>();
    private final int mMaximumConnections;
    private final Semaphore mFreeConnections;
    private volatile boolean mClosed;

    private HttpConnectionPool(Duration connectTimeout, int maximumConnections) {
        mConnectTimeout = connectTimeout;
        mMaximumConnections = maximumConnections;
        mFreeConnections = new Semaphore(maximumConnections, true);
    }

    /** Returns an empty pool. */
    public static HttpConnectionPool create(Duration connectTimeout) {
        return create(connectTimeout, DEFAULT_MAXIMUM_CONNECTIONS);
    }

    /**
     * Returns an empty pool.
     *
     * @param connectTimeout maximum time to wait for room, and then to connect
     * @param maximumConnections connections that may be open, idle ones included
     */
    public static HttpConnectionPool create(Duration connectTimeout, int maximumConnections) {
        return new HttpConnectionPool(connectTimeout, maximumConnections);
    }

    /**
     * Sends one request and waits for the head of the response.
     *
     * @param address address of the server
     * @param request request to send
     * @param readTimeout maximum time to wait for the next bytes of the response
     * @throws NotSentException if no connection could be made, so nothing was sent
     * @throws IOException if the request may have been received but no response was
     */
    public HttpClientResponse send(
            HostPort address, HttpClientRequest request, Duration readTimeout) throws IOException {
        PooledConnection connection =
                request.retryable() ? reuseOrConnect(address) : connect(address, true);
        try {
            connection.setSocketTimeout(Timeout.ofMilliseconds(readTimeout.toMillis()));
            ClassicHttpResponse response =
                    mExecutor.execute(
                            toHttpMessage(address, request), connection, HttpCoreContext.create());
            return HttpClientResponse.create(this, address, connection, response);
        } catch (IOException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw e;
        } catch (HttpException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw new IOException("response from " + address + " is not valid HTTP", e);
        } catch (RuntimeException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw e;
        }
    }

    void release(HostPort address, PooledConnection connection) {
        var idleConnections =
                mIdleConnections.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (mClosed || idleConnections.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
            connection.close(CloseMode.IMMEDIATE);
        } else {
            idleConnections.addFirst(connection);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mIdleConnections
                .values()
                .forEach(
                        idleConnections ->
                                idleConnections.forEach(each -> each.close(CloseMode.IMMEDIATE)));
    }

    private PooledConnection reuseOrConnect(HostPort address) throws IOException {
        var idleConnections = mIdleConnections.get(address);
        if (idleConnections != null) {
            for (var idleConnection = idleConnections.pollFirst();
                    idleConnection != null;
                    idleConnection = idleConnections.pollFirst()) {
                if (idleConnection.isReusable()) {
                    return idleConnection;
                }
                idleConnection.close(CloseMode.IMMEDIATE);
            }
        }
        return connect(address, false);
    }

    private PooledConnection connect(HostPort address, boolean dropsUnsent) throws IOException {
        reserveConnection(address);
        try {
            return connectReserved(address, dropsUnsent);
        } catch (IOException | RuntimeException | Error e) {
            mFreeConnections.release();
            throw e;
        }
    }

    /** Waits until there is room for a connection, for which an idle one is closed. */
    private void reserveConnection(HostPort address) throws NotSentException {
        if (mFreeConnections.tryAcquire()) {
            return;
        }
        closeIdleConnection();
        try {
            if (mFreeConnections.tryAcquire(mConnectTimeout.toMillis(), TimeUnit.MILLISECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        IOException cause = new IOException("all " + mMaximumConnections + " are in use");
        throw new NotSentException("no connection to " + address, cause);
    }

    private void closeIdleConnection() {
        for (ConcurrentLinkedDeque<PooledConnection> idle : mIdleConnections.values()) {
            PooledConnection oldest = idle.pollLast();
            if (oldest != null) {
                oldest.close(CloseMode.IMMEDIATE);
                return;
            }
        }
    }

    private PooledConnection connectReserved(HostPort address, boolean dropsUnsent)
            throws IOException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            if (dropsUnsent) {
                // The kernel must not go on sending after this process has ended.
                socket.setSoLinger(true, 0);
            }
            socket.connect(address.toSocketAddress(), (int) mConnectTimeout.toMillis());
            return PooledConnection.create(socket, mFreeConnections::release);
        } catch (IOException e) {
            socket.close();
            throw new NotSentException("no connection to " + address, e);
        }
    }

    private static ClassicHttpRequest toHttpMessage(HostPort address, HttpClientRequest request) {
        ClassicHttpRequest message =
                new BasicClassicHttpRequest(request.method(), request.target());
        message.setHeader(HttpHeaders.HOST, address.toString());
        request.headers().forEach(message::setHeader);
        if (request.body().length > 0) {
            ContentType type = ContentType.parse(request.contentType());
            message.setEntity(new ByteArrayEntity(request.body(), type));
            message.setHeader(HttpHeaders.CONTENT_TYPE, request.contentType());
            message.setHeader(HttpHeaders.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }
}
