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
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnectionFactory;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/**
 * An HTTP/1.1 server on one address, with one traffic thread per connection.
 *
 * <p>Invariants: each request gets one response, and an exception of the handler is sent as a
 * problem document; no connection is accepted once {@link #close} has returned. All methods may be
 * called by any thread.
 */
public final class HttpService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpService.class);
    private static final int MAXIMUM_LINE_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 100;
    private static final int BACKLOG = 1024;
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 4_000;
    private final HttpServer mServer;
    private final HostPort mAddress;
    private final ConnectionListener mConnections;

    private HttpService(HttpServer server, HostPort address, ConnectionListener connections) {
        mServer = server;
        mAddress = address;
        mConnections = connections;
    }

    /**
     * Starts a server.
     *
     * @param logPrefix prefix of the server's log lines
     * @param address address to listen on; port 0 selects a free port
     * @param idleTimeout maximum time without data from the caller before its connection is closed
     * @param tls TLS context, or null for plain HTTP
     * @param handler handles the requests
     * @throws IOException if the address can't be bound
     */
    public static HttpService start(
            String logPrefix,
            HostPort address,
            Duration idleTimeout,
            SSLContext tls,
            HttpHandler handler)
            throws IOException {
        return start(logPrefix, address, DEFAULT_MAXIMUM_CONNECTIONS, idleTimeout, tls, handler);
    }

    /**
     * Starts a server with a limit of connections.
     *
     * @param maximumConnections connections that may be open; further ones wait until there is room
     * @see #start(String, HostPort, Duration, SSLContext, HttpHandler)
     */
    public static HttpService start(
            String logPrefix,
            HostPort address,
            int maximumConnections,
            Duration idleTimeout,
            SSLContext tls,
            HttpHandler handler)
            throws IOException {
        ServerConnections open = ServerConnections.withMaximum(logPrefix, maximumConnections);
        ConnectionListener connections = new ConnectionListener(logPrefix, open);
        MemoryBudget memory = MemoryBudget.ofHeap();
        Http1Config config =
                Http1Config.custom()
                        .setMaxLineLength(MAXIMUM_LINE_BYTES)
                        .setMaxHeaderCount(MAXIMUM_HEADERS)
                        .build();
        HttpServer server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getByName(address.host()))
                        .setListenerPort(address.port())
                        .setServerSocketFactory(ListeningSocketFactory.create(tls, open))
                        .setHttp1Config(config)
                        .setConnectionFactory(
                                DefaultBHttpServerConnectionFactory.builder()
                                        .scheme(URIScheme.HTTP.id)
                                        .http1Config(config)
                                        .requestParserFactory(LimitedHeadParser.FACTORY)
                                        .build())
                        .setSocketConfig(
                                SocketConfig.custom()
                                        .setSoTimeout(
                                                (int) idleTimeout.toMillis(), TimeUnit.MILLISECONDS)
                                        .setTcpNoDelay(true)
                                        .setBacklogSize(BACKLOG)
                                        .build())
                        .setExceptionListener(connections)
                        .setStreamListener(connections)
                        .setRequestRouter(
                                (request, context) -> toRequestHandler(logPrefix, memory, handler))
                        .create();
        server.start();
        HostPort used = new HostPort(address.host(), server.getLocalPort());
        return new HttpService(server, used, connections);
    }

    /** Returns the address that the server listens on. */
    public HostPort address() {
        return mAddress;
    }

    /** Returns the number of connections with a request whose response is incomplete. */
    public int busyConnections() {
        // The thread of a connection that ends with an error does not report that.
        mConnections.mBusyConnections.removeIf(connection -> !connection.isOpen());
        return mConnections.mBusyConnections.size();
    }

    /** Stops accepting connections and, after the grace period, closes those that are open. */
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

    private static HttpRequestHandler toRequestHandler(
            String logPrefix, MemoryBudget memory, HttpHandler handler) {
        return (ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context) -> {
            HttpExchange exchange = null;
            try (MemoryBudget.Account body = memory.open(MemoryBudget.Use.REQUEST_BODY)) {
                exchange = HttpExchange.create(request, response, body);
                handler.handle(exchange);
            } catch (ProblemException e) {
                respond(exchange, response, e.problem());
            } catch (RuntimeException e) {
                LOG.error("{}: A request failed.", logPrefix, e);
                respond(
                        exchange,
                        response,
                        Problem.mayHaveRun(500, "internal", "Handling the request failed.", false));
            }
        };
    }

    private static void respond(
            HttpExchange exchange, ClassicHttpResponse response, Problem problem) {
        if (exchange != null) {
            exchange.respond(problem);
        } else {
            response.setCode(problem.status());
        }
    }

    /**
     * Tracks the connections that have a request in progress and logs connection errors; callers
     * that disconnect or time out are expected and logged at debug level.
     */
    private static final class ConnectionListener
            implements ExceptionListener, Http1StreamListener {
        private final String mLogPrefix;
        private final ServerConnections mOpen;
        private final Set<HttpConnection> mBusyConnections = ConcurrentHashMap.newKeySet();

        ConnectionListener(String logPrefix, ServerConnections open) {
            mLogPrefix = logPrefix;
            mOpen = open;
        }

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {
            mBusyConnections.add(connection);
            mOpen.startRequest(connection);
        }

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {
            LOG.trace("{}: Sending a response.", mLogPrefix);
        }

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            mBusyConnections.remove(connection);
            mOpen.completeResponse(connection);
        }

        @Override
        public void onError(Exception failure) {
            LOG.debug("{}: The listener reported {}.", mLogPrefix, failure.toString());
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            mBusyConnections.remove(connection);
            boolean expected =
                    failure instanceof ConnectionClosedException
                            || failure instanceof SocketTimeoutException
                            || failure instanceof CharacterCodingException
                            || failure instanceof IOException;
            if (expected) {
                LOG.debug("{}: A connection ended: {}.", mLogPrefix, failure.toString());
            } else {
                LOG.warn("{}: A connection failed.", mLogPrefix, failure);
            }
        }
    }
}
