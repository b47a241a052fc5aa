package org.vanilladoor.http;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.vanilladoor.common.HostPort;

/**
 * Sends HTTP requests over connections that are kept for reuse.
 *
 * <p>Invariants: a request is written at most once, never repeated here; a connection is reused
 * only after its last answer was read to the end. Safe for use by any thread; calls block.
 */
public final class HttpConnectionPool implements AutoCloseable {
    private static final int MAXIMUM_IDLE_PER_ADDRESS = 64;
    private final Duration mConnectTimeout;
    private final HttpRequestExecutor mExecutor = new HttpRequestExecutor();
    private final DefaultBHttpClientConnectionFactory mFactory =
            DefaultBHttpClientConnectionFactory.builder().build();
    private final Map<HostPort, ConcurrentLinkedDeque<DefaultBHttpClientConnection>> mIdle =
            new ConcurrentHashMap<>();
    private volatile boolean mClosed;

    private HttpConnectionPool(Duration connectTimeout) {
        mConnectTimeout = connectTimeout;
    }

    /** Returns a new set of connections. */
    public static HttpConnectionPool create(Duration connectTimeout) {
        return new HttpConnectionPool(connectTimeout);
    }

    /**
     * Sends one request and waits for the head of its answer.
     *
     * @param address where to send it
     * @param request what to send
     * @param readTimeout longest silence of the other side
     * @throws NotSentException if no connection could be made, so nothing was sent
     * @throws IOException if the request may have been received and no answer came
     */
    public HttpClientResponse send(
            HostPort address, HttpClientRequest request, Duration readTimeout) throws IOException {
        DefaultBHttpClientConnection connection =
                request.retryable() ? reuseOrConnect(address) : connect(address);
        try {
            connection.setSocketTimeout(Timeout.ofMilliseconds(readTimeout.toMillis()));
            ClassicHttpResponse response =
                    mExecutor.execute(
                            message(address, request), connection, HttpCoreContext.create());
            return HttpClientResponse.create(this, address, connection, response);
        } catch (IOException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw e;
        } catch (HttpException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw new IOException("answer from " + address + " is not HTTP", e);
        } catch (RuntimeException e) {
            connection.close(CloseMode.IMMEDIATE);
            throw e;
        }
    }

    void keep(HostPort address, DefaultBHttpClientConnection connection) {
        var idle = mIdle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (mClosed || idle.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
            connection.close(CloseMode.IMMEDIATE);
        } else {
            idle.addFirst(connection);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mIdle.values().forEach(idle -> idle.forEach(each -> each.close(CloseMode.IMMEDIATE)));
    }

    private DefaultBHttpClientConnection reuseOrConnect(HostPort address) throws IOException {
        var idle = mIdle.get(address);
        if (idle != null) {
            for (var kept = idle.pollFirst(); kept != null; kept = idle.pollFirst()) {
                if (isUsable(kept)) {
                    return kept;
                }
                kept.close(CloseMode.IMMEDIATE);
            }
        }
        return connect(address);
    }

    private static boolean isUsable(DefaultBHttpClientConnection connection) {
        try {
            return connection.isOpen() && !connection.isStale();
        } catch (IOException e) {
            return false;
        }
    }

    private DefaultBHttpClientConnection connect(HostPort address) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address.toSocketAddress(), (int) mConnectTimeout.toMillis());
            return mFactory.createConnection(socket);
        } catch (IOException e) {
            socket.close();
            throw new NotSentException("no connection to " + address, e);
        }
    }

    private static ClassicHttpRequest message(HostPort address, HttpClientRequest request) {
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
