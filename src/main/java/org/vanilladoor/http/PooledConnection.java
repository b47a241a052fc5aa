package org.vanilladoor.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.vanilladoor.transport.ResponseFraming;
import org.vanilladoor.transport.ResponseLineParser;

/**
 * A connection to a server that accepts only responses with an unambiguous head, and knows of bytes
 * that belong to none.
 *
 * <p>Confined to one thread at a time; it may be closed by any thread.
 */
final class PooledConnection extends DefaultBHttpClientConnection {
    private final ResponseParser mParser;
    private final Runnable mOnClose;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private PooledConnection(ResponseParser parser, Runnable onClose) {
        super(Http1Config.DEFAULT, null, null, null, null, null, config -> parser);
        mParser = parser;
        mOnClose = onClose;
    }

    /**
     * Returns a connection that uses a connected socket.
     *
     * @param onClose runs once, when the connection is closed
     */
    static PooledConnection create(Socket socket, Runnable onClose) throws IOException {
        PooledConnection connection = new PooledConnection(new ResponseParser(), onClose);
        connection.bind(socket);
        return connection;
    }

    @Override
    public void close() throws IOException {
        try {
            super.close();
        } finally {
            recordClose();
        }
    }

    @Override
    public void close(CloseMode mode) {
        try {
            super.close(mode);
        } finally {
            recordClose();
        }
    }

    private void recordClose() {
        if (mClosed.compareAndSet(false, true)) {
            mOnClose.run();
        }
    }

    /** Returns whether the server has neither closed the connection nor sent further bytes. */
    boolean isReusable() {
        try {
            // Looking for the end of the connection reads what has arrived.
            return isOpen() && !isStale() && !mParser.hasUnreadInput();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream input) {
        if (length == ContentLengthStrategy.CHUNKED) {
            return ChunkInputStream.of(buffer, new EndlessInput(input));
        }
        boolean endsWithConnection = length == ContentLengthStrategy.UNDEFINED;
        return endsWithConnection
                ? new NonEmptyInput(super.createContentInputStream(length, buffer, input))
                : super.createContentInputStream(length, buffer, new EndlessInput(input));
    }

    /** Parses the response heads of one connection. */
    private static final class ResponseParser implements HttpMessageParser<ClassicHttpResponse> {
        private final HttpMessageParser<ClassicHttpResponse> mParser =
                new DefaultHttpResponseParser(
                        Http1Config.DEFAULT,
                        ResponseLineParser.create(line -> {}),
                        DefaultClassicHttpResponseFactory.INSTANCE);
        private SessionInputBuffer mBuffer;

        @Override
        public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input)
                throws IOException, HttpException {
            mBuffer = buffer;
            ClassicHttpResponse head =
                    mParser.parse(HeadBuffer.ofResponse(buffer), new EndlessInput(input));
            if (head != null) {
                ResponseFraming.requireUnambiguous(head);
            }
            return head;
        }

        boolean hasUnreadInput() {
            return mBuffer != null && mBuffer.length() > 0;
        }
    }

    /** Fails at the end of the connection, which HttpCore takes for the end of a head. */
    private static final class EndlessInput extends FilterInputStream {
        EndlessInput(InputStream input) {
            super(input);
        }

        @Override
        public int read() throws IOException {
            return requireInput(super.read());
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            return requireInput(super.read(buffer, offset, length));
        }

        private static int requireInput(int result) throws ConnectionClosedException {
            if (result < 0) {
                throw new ConnectionClosedException("the connection was closed inside a response");
            }
            return result;
        }
    }

    /** Fails if there are no bytes; an empty body that the end delimits may as well be missing. */
    private static final class NonEmptyInput extends FilterInputStream {
        private boolean mHasBytes;

        NonEmptyInput(InputStream input) {
            super(input);
        }

        @Override
        public int read() throws IOException {
            return requireBytes(super.read());
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            return requireBytes(super.read(buffer, offset, length));
        }

        private int requireBytes(int result) throws ConnectionClosedException {
            mHasBytes |= result >= 0;
            if (!mHasBytes) {
                throw new ConnectionClosedException("the connection was closed after the head");
            }
            return result;
        }
    }
}
