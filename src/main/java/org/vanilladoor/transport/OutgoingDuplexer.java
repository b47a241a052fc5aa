package org.vanilladoor.transport;

import java.nio.channels.ReadableByteChannel;
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
 * <p>Invariant: the end of the connection ends a body only if nothing else delimits it. Confined to
 * the I/O thread.
 */
final class OutgoingDuplexer extends ClientHttp1StreamDuplexer {
    private final Http1Config mConfig;

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
        mConfig = config;
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
        return length == ContentLengthStrategy.CHUNKED
                ? ChunkDecoder.create(channel, buffer, metrics, mConfig.getMaxLineLength())
                : super.createContentDecoder(length, channel, buffer, metrics);
    }
}
