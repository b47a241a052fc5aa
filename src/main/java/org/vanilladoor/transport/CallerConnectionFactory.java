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
import org.vanilladoor.common.CallerActivity;
import org.vanilladoor.common.MemoryBudget;

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
    private final CallerSessions mSessions;
    private final MemoryBudget mMemory;

    private CallerConnectionFactory(
            Http1Config config,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1StreamListener listener,
            CallerSessions sessions,
            MemoryBudget memory) {
        mConfig = config;
        mExchanges = exchanges;
        mListener = listener;
        mSessions = sessions;
        mMemory = memory;
    }

    /**
     * Returns a factory.
     *
     * @param exchanges creates the handler of each request
     * @param listener receives the events of all connections
     * @param sessions the sessions of all connections
     * @param memory the memory that heads take
     */
    static CallerConnectionFactory create(
            Http1Config config,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1StreamListener listener,
            CallerSessions sessions,
            MemoryBudget memory) {
        return new CallerConnectionFactory(config, exchanges, listener, sessions, memory);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        CallerActivity activity = mSessions.activityAt(session.getRemoteAddress());
        RequestGate gate = RequestGate.create(mListener, activity, mMemory);
        return CallerConnectionHandler.of(
                CallerDuplexer.create(session, RESPONSE_PROCESSOR, mExchanges, mConfig, gate),
                gate);
    }
}
