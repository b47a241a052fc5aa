package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The HTTP side of one outgoing connection.
 *
 * <p>Invariant: the end of the connection ends a body only if nothing else delimits it; HttpCore
 * would also take it for the end of a chunk's size. Confined to the I/O thread.
 */
final class OutgoingDuplexer extends ClientHttp1StreamDuplexer {
    private OutgoingDuplexer(
            ProtocolIOSession session,
            HttpProcessor processor,
            Http1Config config,
            ResponseBoundary boundary) {
        super(
                session,
                processor,
                config,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                ResponseParser.create(config, boundary),
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
                boundary);
    }

    static OutgoingDuplexer create(
            ProtocolIOSession session,
            HttpProcessor processor,
            Http1Config config,
            ResponseBoundary boundary) {
        return new OutgoingDuplexer(session, processor, config, boundary);
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length,
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics)
            throws HttpException {
        boolean endsWithConnection = length == ContentLengthStrategy.UNDEFINED;
        return super.createContentDecoder(
                length,
                endsWithConnection ? channel : new EndlessChannel(channel, buffer),
                buffer,
                metrics);
    }

    /**
     * A channel that may not end while a body is incomplete; closing it closes the connection.
     *
     * <p>A decoder may read on before it has used what is buffered, so that the end counts only
     * once it gets no further with that.
     */
    private static final class EndlessChannel implements ReadableByteChannel {
        private final ReadableByteChannel mChannel;
        private final SessionInputBuffer mBuffer;
        private int mBufferedAtEnd = Integer.MAX_VALUE;

        EndlessChannel(ReadableByteChannel channel, SessionInputBuffer buffer) {
            mChannel = channel;
            mBuffer = buffer;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            int count = mChannel.read(target);
            if (count >= 0) {
                return count;
            }
            int buffered = mBuffer.length();
            if (buffered == 0 || buffered >= mBufferedAtEnd) {
                throw new ConnectionClosedException("the connection was closed inside a body");
            }
            mBufferedAtEnd = buffered;
            return 0;
        }

        @Override
        public boolean isOpen() {
            return mChannel.isOpen();
        }

        @Override
        public void close() throws IOException {
            mChannel.close();
        }
    }
}
