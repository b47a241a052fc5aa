package org.vanilladoor.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.CharacterCodingException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.Http1StreamListener;
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
    private final ConnectionWatch mConnections;

    private HttpService(HttpServer server, HostPort address, ConnectionWatch connections) {
        mServer = server;
        mAddress = address;
        mConnections = connections;
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
        ConnectionWatch connections = new ConnectionWatch(part);
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
                        .setExceptionListener(connections)
                        .setStreamListener(connections)
                        .setRequestRouter((request, context) -> adapt(part, handler))
                        .create();
        server.start();
        HostPort used = new HostPort(address.host(), server.getLocalPort());
        return new HttpService(server, used, connections);
    }

    /** Returns the address in use. */
    public HostPort address() {
        return mAddress;
    }

    /** Returns how many connections have a request that is not answered to its end. */
    public int busyConnections() {
        return mConnections.mBusy.size();
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
                        Problem.mayHaveRun(500, "internal", "The system failed.", false));
            }
        };
    }

    private static void reply(
            HttpExchange exchange, ClassicHttpResponse response, Problem problem) {
        if (exchange != null) {
            exchange.respond(problem);
        } else {
            response.setCode(problem.status());
        }
    }

    /**
     * Knows which connections have a request under way, and logs what goes wrong on them; callers
     * that leave or stay silent are ordinary.
     */
    private static final class ConnectionWatch implements ExceptionListener, Http1StreamListener {
        private final String mPart;
        private final Set<HttpConnection> mBusy = ConcurrentHashMap.newKeySet();

        ConnectionWatch(String part) {
            mPart = part;
        }

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {
            mBusy.add(connection);
        }

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {
            LOG.trace("{}: An answer begins.", mPart);
        }

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            mBusy.remove(connection);
        }

        @Override
        public void onError(Exception failure) {
            LOG.debug("{}: The listener reported {}.", mPart, failure.toString());
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            mBusy.remove(connection);
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
