package org.vanilladoor.transport;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The HTTP side of one caller's connection.
 *
 * <p>Invariant: a body in chunks ends only where every reader sees its end. Confined to the I/O
 * thread.
 */
final class CallerDuplexer extends ServerHttp1StreamDuplexer {
    private static final Logger LOG = LogManager.getLogger(CallerDuplexer.class);
    private final Http1Config mConfig;

    private CallerDuplexer(
            ProtocolIOSession session,
            HttpProcessor processor,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1Config config,
            RequestGate gate) {
        super(
                session,
                processor,
                exchanges,
                URIScheme.HTTP.id,
                config,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                RequestParser.create(config, gate),
                DefaultHttpResponseWriterFactory.INSTANCE.create(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
                gate,
                e -> LOG.debug("front: A request failed: {}.", e.toString()));
        mConfig = config;
    }

    static CallerDuplexer create(
            ProtocolIOSession session,
            HttpProcessor processor,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1Config config,
            RequestGate gate) {
        return new CallerDuplexer(session, processor, exchanges, config, gate);
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
