package org.vanilladoor.transport;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * Gives each caller's connection a parser that rejects malformed requests.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class CallerConnectionFactory implements IOEventHandlerFactory {
    private static final HttpProcessor RESPONSE_PROCESSOR =
            HttpProcessorBuilder.create().add(new ResponseContent()).build();
    private final Http1Config mConfig;
    private final HandlerFactory<AsyncServerExchangeHandler> mExchanges;
    private final Http1StreamListener mListener;

    private CallerConnectionFactory(
            Http1Config config,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1StreamListener listener) {
        mConfig = config;
        mExchanges = exchanges;
        mListener = listener;
    }

    /**
     * Returns a factory.
     *
     * @param exchanges creates the handler of each request
     * @param listener receives the events of all connections
     */
    static CallerConnectionFactory create(
            Http1Config config,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1StreamListener listener) {
        return new CallerConnectionFactory(config, exchanges, listener);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        return CallerConnectionHandler.of(
                CallerDuplexer.create(session, RESPONSE_PROCESSOR, mExchanges, mConfig, mListener));
    }
}
