package org.vanilladoor.transport;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.reactor.EndpointParameters;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * Gives each outgoing connection a handler that knows which bytes belong to a response.
 *
 * <p>The attachment of a connection is its {@link ResponseBoundary}. Immutable and safe for use by
 * any thread.
 */
final class ConnectionHandlerFactory implements IOEventHandlerFactory {
    private static final HttpProcessor REQUEST_PROCESSOR =
            HttpProcessorBuilder.create().add(new RequestContent()).build();
    private final Http1Config mConfig;

    private ConnectionHandlerFactory(Http1Config config) {
        mConfig = config;
    }

    static ConnectionHandlerFactory create(Http1Config config) {
        return new ConnectionHandlerFactory(config);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        ResponseBoundary boundary =
                (ResponseBoundary) ((EndpointParameters) attachment).getAttachment();
        boundary.bind(session);
        return CallConnectionHandler.of(
                OutgoingDuplexer.create(session, REQUEST_PROCESSOR, mConfig, boundary));
    }
}
