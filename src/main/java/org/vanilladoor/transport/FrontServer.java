package org.vanilladoor.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;

/**
 * Takes callers' requests on one address, without a thread for each connection.
 *
 * <p>Invariant: requests are handed over on the control thread, whole. Safe for use by any thread.
 */
public final class FrontServer implements AutoCloseable {
    /** Longest time a caller's connection may be idle; the operators allow less. */
    private static final Timeout IDLE = Timeout.ofSeconds(120);

    private static final int MAXIMUM_HEADERS = 200;
    private static final int BACKLOG = 512;
    private static final int LISTEN_SECONDS = 10;
    private static final Logger LOG = LogManager.getLogger(FrontServer.class);
    private final HttpAsyncServer mServer;
    private final HostPort mAddress;

    private FrontServer(HttpAsyncServer server, HostPort address) {
        mServer = server;
        mAddress = address;
    }

    /**
     * Starts a server.
     *
     * @param address where it listens; port 0 takes a free one
     * @param control runs the receiver
     * @param headerBytes longest line of a request's head
     * @param bodyBytes largest body, asked anew for each request
     * @param arrived receives each request
     * @throws IOException if the address can't be listened on
     */
    public static FrontServer start(
            HostPort address,
            ControlLoop control,
            int headerBytes,
            IntSupplier bodyBytes,
            Consumer<FrontExchange> arrived)
            throws IOException {
        ConnectionOfRequest current = new ConnectionOfRequest();
        CallerSessions sessions = new CallerSessions();
        HttpAsyncServer server =
                AsyncServerBootstrap.bootstrap()
                        .setIOReactorConfig(reactor())
                        .setHttp1Config(
                                Http1Config.custom()
                                        .setMaxLineLength(headerBytes)
                                        .setMaxHeaderCount(MAXIMUM_HEADERS)
                                        .build())
                        .setHttpProcessor(
                                HttpProcessorBuilder.create().add(new ResponseContent()).build())
                        .setStreamListener(current)
                        .setIOSessionDecorator(sessions::watch)
                        .setIOSessionListener(sessions)
                        .setExceptionCallback(
                                e -> LOG.debug("front: A connection failed: {}.", e.toString()))
                        .setRequestRouter(
                                (request, context) ->
                                        () ->
                                                new FrontExchange(
                                                        control,
                                                        sessions.of(current.mConnection),
                                                        bodyBytes.getAsInt(),
                                                        arrived))
                        .create();
        server.start();
        return new FrontServer(server, listen(server, address));
    }

    /** Returns the address it listens on. */
    public HostPort address() {
        return mAddress;
    }

    /**
     * Listens on a further address.
     *
     * @throws IOException if the address can't be listened on
     */
    public void alsoListen(HostPort address) throws IOException {
        listen(mServer, address);
    }

    /** Returns whether it still takes requests. */
    public boolean isRunning() {
        return mServer.getStatus() == IOReactorStatus.ACTIVE;
    }

    /** Closes all connections. */
    @Override
    public void close() {
        mServer.close(CloseMode.IMMEDIATE);
    }

    private static IOReactorConfig reactor() {
        return IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setSoTimeout(IDLE)
                .setSoReuseAddress(true)
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setBacklogSize(BACKLOG)
                .build();
    }

    private static HostPort listen(HttpAsyncServer server, HostPort address) throws IOException {
        try {
            ListenerEndpoint endpoint =
                    server.listen(address.toSocketAddress(), URIScheme.HTTP)
                            .get(LISTEN_SECONDS, TimeUnit.SECONDS);
            int port = ((InetSocketAddress) endpoint.getAddress()).getPort();
            return new HostPort(address.host(), port);
        } catch (ExecutionException e) {
            throw new IOException("can't listen on " + address, e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("can't listen on " + address + " in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Knows the connection whose request is just being handed over.
     *
     * <p>The server has a single thread, which reads a request's head and asks for its handler in
     * one go; only that thread uses it.
     */
    private static final class ConnectionOfRequest implements Http1StreamListener {
        private HttpConnection mConnection;

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {
            mConnection = connection;
        }

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {
            // Nothing to note.
        }

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            // Nothing to note.
        }
    }
}
