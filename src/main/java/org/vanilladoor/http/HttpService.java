package org.vanilladoor.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.CharacterCodingException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.HostPort;

/**
 * An HTTP/1.1 server on one address, with one traffic thread per connection.
 *
 * <p>Invariant: each request gets one answer, and a failure of the handler becomes a problem
 * document. All methods may be called by any thread.
 */
public final class HttpService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpService.class);
    private static final int MAXIMUM_LINE_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 100;
    private static final int BACKLOG = 1024;
    private final HttpServer mServer;
    private final HostPort mAddress;

    private HttpService(HttpServer server, HostPort address) {
        mServer = server;
        mAddress = address;
    }

    /**
     * Starts a server.
     *
     * @param part prefix of its log lines
     * @param address address to listen on; port 0 takes a free one
     * @param idle longest silence of a caller before its connection is closed
     * @param tls context for TLS, or null for plain HTTP
     * @param handler answers the requests
     * @throws IOException if the address can't be bound
     */
    public static HttpService start(
            String part, HostPort address, Duration idle, SSLContext tls, HttpHandler handler)
            throws IOException {
        HttpServer server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getByName(address.host()))
                        .setListenerPort(address.port())
                        .setSslContext(tls)
                        .setHttp1Config(
                                Http1Config.custom()
                                        .setMaxLineLength(MAXIMUM_LINE_BYTES)
                                        .setMaxHeaderCount(MAXIMUM_HEADERS)
                                        .build())
                        .setSocketConfig(
                                SocketConfig.custom()
                                        .setSoTimeout((int) idle.toMillis(), TimeUnit.MILLISECONDS)
                                        .setTcpNoDelay(true)
                                        .setBacklogSize(BACKLOG)
                                        .build())
                        .setExceptionListener(new QuietListener(part))
                        .setRequestRouter((request, context) -> adapt(part, handler))
                        .create();
        server.start();
        return new HttpService(server, new HostPort(address.host(), server.getLocalPort()));
    }

    /** Returns the address in use. */
    public HostPort address() {
        return mAddress;
    }

    /** Closes the listener and, after the grace time, every connection. */
    public void stop(Duration grace) {
        mServer.initiateShutdown();
        try {
            mServer.awaitTermination(TimeValue.ofMilliseconds(grace.toMillis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mServer.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void close() {
        mServer.close(CloseMode.IMMEDIATE);
    }

    private static HttpRequestHandler adapt(String part, HttpHandler handler) {
        return (ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context) -> {
            HttpExchange exchange = null;
            try {
                exchange = HttpExchange.create(request, response);
                handler.handle(exchange);
            } catch (ProblemException e) {
                reply(exchange, response, e.problem());
            } catch (RuntimeException e) {
                LOG.error("{}: A request failed.", part, e);
                reply(
                        exchange,
                        response,
                        Problem.unknown(500, "internal", "The system failed.", false));
            }
        };
    }

    private static void reply(
            HttpExchange exchange, ClassicHttpResponse response, Problem problem) {
        if (exchange != null) {
            exchange.reply(problem);
        } else {
            response.setCode(problem.status());
        }
    }

    /** Logs what goes wrong on connections; callers that leave or stay silent are ordinary. */
    private static final class QuietListener implements ExceptionListener {
        private final String mPart;

        QuietListener(String part) {
            mPart = part;
        }

        @Override
        public void onError(Exception failure) {
            LOG.debug("{}: The listener reported {}.", mPart, failure.toString());
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            boolean ordinary =
                    failure instanceof ConnectionClosedException
                            || failure instanceof SocketTimeoutException
                            || failure instanceof CharacterCodingException
                            || failure instanceof IOException;
            if (ordinary) {
                LOG.debug("{}: A connection ended: {}.", mPart, failure.toString());
            } else {
                LOG.warn("{}: A connection failed.", mPart, failure);
            }
        }
    }
}
