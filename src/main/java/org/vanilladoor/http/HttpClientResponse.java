package org.vanilladoor.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.io.CloseMode;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.transport.ResponseFraming;

/**
 * The response to a sent request; its body is read on demand.
 *
 * <p>Invariant: closing before the body was read to its end closes the connection, so that the rest
 * of the response can't be taken for the response to another request; closing again does nothing.
 * {@link #close} may be called by any thread; all else is confined to one thread.
 */
public final class HttpClientResponse implements AutoCloseable {
    private static final int COPY_BYTES = 8192;
    private final HttpConnectionPool mConnectionPool;
    private final HostPort mAddress;
    private final PooledConnection mConnection;
    private final ClassicHttpResponse mResponse;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile boolean mWholeBodyRead;

    private HttpClientResponse(
            HttpConnectionPool connectionPool,
            HostPort address,
            PooledConnection connection,
            ClassicHttpResponse response) {
        mConnectionPool = connectionPool;
        mAddress = address;
        mConnection = connection;
        mResponse = response;
    }

    static HttpClientResponse create(
            HttpConnectionPool connectionPool,
            HostPort address,
            PooledConnection connection,
            ClassicHttpResponse response) {
        return new HttpClientResponse(connectionPool, address, connection, response);
    }

    /** Returns the HTTP status. */
    public int status() {
        return mResponse.getCode();
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        Header header = mResponse.getFirstHeader(name);
        return header == null ? Optional.empty() : Optional.of(header.getValue());
    }

    /** Returns the content type, {@code application/octet-stream} if the response has none. */
    public String contentType() {
        return header("Content-Type").orElse("application/octet-stream");
    }

    /**
     * Reads some bytes of the body.
     *
     * @return the number of bytes, or -1 at the end of a complete body
     * @throws IOException if the body ends before its stated length or its last chunk
     */
    public int read(byte[] buffer) throws IOException {
        InputStream content = content();
        int count = content == null ? -1 : content.read(buffer);
        if (count < 0) {
            mWholeBodyRead = true;
        }
        return count;
    }

    /**
     * Reads the whole body.
     *
     * @throws IOException if the body is incomplete or longer than the limit
     */
    public byte[] readAll(int maximumBytes) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[COPY_BYTES];
        for (int count = read(buffer); count >= 0; count = read(buffer)) {
            body.write(buffer, 0, count);
            if (body.size() > maximumBytes) {
                throw new IOException("response exceeds " + maximumBytes + " bytes");
            }
        }
        return body.toByteArray();
    }

    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        boolean reusable = ResponseFraming.allowsReuseAfter(mResponse);
        if (mWholeBodyRead && reusable && mConnection.isOpen()) {
            mConnectionPool.release(mAddress, mConnection);
        } else {
            mConnection.close(CloseMode.IMMEDIATE);
        }
    }

    private InputStream content() throws IOException {
        HttpEntity entity = mResponse.getEntity();
        return entity == null ? null : entity.getContent();
    }
}
