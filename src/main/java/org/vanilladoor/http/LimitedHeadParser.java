package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the heads of requests and limits the size of a whole head; HttpCore limits only the length
 * of a line and the number of lines.
 *
 * <p>Confined to the thread of its connection.
 */
final class LimitedHeadParser implements HttpMessageParser<ClassicHttpRequest> {
    /** Twice the size that callers are allowed, so that none of them reaches it. */
    private static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

    static final HttpMessageParserFactory<ClassicHttpRequest> FACTORY =
            config -> new LimitedHeadParser(config);
    private final HttpMessageParser<ClassicHttpRequest> mParser;

    private LimitedHeadParser(Http1Config config) {
        mParser = DefaultHttpRequestParserFactory.INSTANCE.create(config);
    }

    @Override
    public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream input)
            throws IOException, HttpException {
        return mParser.parse(new HeadBuffer(buffer), input);
    }

    /** The input of one head. */
    private static final class HeadBuffer implements SessionInputBuffer {
        private final SessionInputBuffer mBuffer;
        private int mBytes;

        HeadBuffer(SessionInputBuffer buffer) {
            mBuffer = buffer;
        }

        @Override
        public int readLine(CharArrayBuffer line, InputStream input) throws IOException {
            int count = mBuffer.readLine(line, input);
            mBytes += Math.max(0, count);
            if (mBytes > MAXIMUM_HEAD_BYTES) {
                throw new MessageConstraintException("the head is too large");
            }
            return count;
        }

        @Override
        public int length() {
            return mBuffer.length();
        }

        @Override
        public int capacity() {
            return mBuffer.capacity();
        }

        @Override
        public int available() {
            return mBuffer.available();
        }

        @Override
        public int read(byte[] target, int offset, int length, InputStream input)
                throws IOException {
            return mBuffer.read(target, offset, length, input);
        }

        @Override
        public int read(byte[] target, InputStream input) throws IOException {
            return mBuffer.read(target, input);
        }

        @Override
        public int read(InputStream input) throws IOException {
            return mBuffer.read(input);
        }

        @Override
        public HttpTransportMetrics getMetrics() {
            return mBuffer.getMetrics();
        }
    }
}
