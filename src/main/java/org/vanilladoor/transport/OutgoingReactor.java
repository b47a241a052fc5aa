package org.vanilladoor.transport;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Starts the I/O thread of outgoing connections.
 *
 * <p>Not instantiable.
 */
final class OutgoingReactor {
    /** Socket timeout of HttpCore; the timeouts of the callers of this class are far shorter. */
    static final Timeout SOCKET_TIMEOUT = Timeout.ofMinutes(2);

    /** Idle time before the first TCP keep-alive probe, and the interval between probes. */
    private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 3;

    /** Maximum length of a line in the head, the chunk headers or the trailers of a response. */
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

    private static final int MAXIMUM_HEADERS = 200;

    private static final Logger LOG = LogManager.getLogger(OutgoingReactor.class);

    private OutgoingReactor() {}

    /**
     * Starts a requester without connections.
     *
     * @param maximumConnections connections that may be open or about to be opened
     */
    static HttpAsyncRequester start(int maximumConnections) {
        HttpAsyncRequester requester =
                new HttpAsyncRequester(
                        reactorConfig(),
                        ConnectionHandlerFactory.create(
                                Http1Config.custom()
                                        .setMaxLineLength(MAXIMUM_LINE_BYTES)
                                        .setMaxHeaderCount(MAXIMUM_HEADERS)
                                        .setInitialWindowSize(OutgoingExchange.WINDOW_BYTES)
                                        .build()),
                        null,
                        e -> LOG.debug("links: A connection failed: {}.", e.toString()),
                        null,
                        new StrictConnPool<>(
                                maximumConnections,
                                maximumConnections,
                                Timeout.DISABLED,
                                PoolReusePolicy.LIFO,
                                null),
                        PlainConnections.STRATEGY,
                        null,
                        null,
                        null);
        requester.start();
        return requester;
    }

    private static IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setSoTimeout(SOCKET_TIMEOUT)
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setTcpKeepIdle(KEEP_ALIVE_PROBE_SECONDS)
                .setTcpKeepInterval(KEEP_ALIVE_PROBE_SECONDS)
                .setTcpKeepCount(KEEP_ALIVE_PROBES)
                .build();
    }
}
