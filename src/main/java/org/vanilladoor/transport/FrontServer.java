package org.vanilladoor.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;

/**
 * An HTTP server that serves all connections with a single I/O thread.
 *
 * <p>Invariant: each request is passed to the receiver on the control thread, once its body has
 * been read. Safe for use by any thread.
 */
public final class FrontServer implements AutoCloseable {
    /** Maximum idle time of a caller's connection; the operators' platform allows less. */
    private static final Timeout IDLE_TIMEOUT = Timeout.ofSeconds(120);

    private static final int MAXIMUM_HEADERS = 200;
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 4_000;
    private static final int ACCEPT_BACKLOG = 512;
    private static final int LISTEN_TIMEOUT_SECONDS = 10;

    /** Interval at which a stop checks whether requests are still open. */
    private static final long STOP_CHECK_INTERVAL_MILLIS = 10;

    private static final Logger LOG = LogManager.getLogger(FrontServer.class);
    private final HttpAsyncServer mServer;
    private final HostPort mAddress;
    private final AtomicInteger mOpenExchanges;
    private final CallerConnectionLimit mConnectionLimit;
    private final CallerSessions mSessions;
    private final MemoryBudget mMemory;
    private final AtomicInteger mListeners = new AtomicInteger();

    private FrontServer(
            HttpAsyncServer server,
            HostPort address,
            AtomicInteger openExchanges,
            CallerConnectionLimit connectionLimit,
            CallerSessions sessions,
            MemoryBudget memory)
            throws IOException {
        mServer = server;
        mSessions = sessions;
        mMemory = memory;
        mOpenExchanges = openExchanges;
        mConnectionLimit = connectionLimit;
        mAddress = listen(address);
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param control loop that runs the receiver
     * @param memory the memory that requests and unread responses take
     * @param maximumHeaderLineBytes maximum length of a line in a request's head
     * @param maximumBodyBytes supplies the maximum size of a body; evaluated for each request
     * @param receiver receives each request on the control thread
     * @throws IOException if the address can't be listened on
     */
    public static FrontServer start(
            HostPort address,
            ControlLoop control,
            MemoryBudget memory,
            int maximumHeaderLineBytes,
            IntSupplier maximumBodyBytes,
            Consumer<FrontExchange> receiver)
            throws IOException {
        return start(
                address,
                DEFAULT_MAXIMUM_CONNECTIONS,
                control,
                memory,
                maximumHeaderLineBytes,
                maximumBodyBytes,
                receiver);
    }

    /**
     * Starts a server with a limit of connections.
     *
     * @param maximumConnections connections that may be open; further ones wait until there is room
     * @see #start(HostPort, ControlLoop, MemoryBudget, int, IntSupplier, Consumer)
     */
    public static FrontServer start(
            HostPort address,
            int maximumConnections,
            ControlLoop control,
            MemoryBudget memory,
            int maximumHeaderLineBytes,
            IntSupplier maximumBodyBytes,
            Consumer<FrontExchange> receiver)
            throws IOException {
        CallerSessions sessions = new CallerSessions();
        CurrentConnection current = new CurrentConnection();
        CallerConnectionLimit limit = CallerConnectionLimit.of(maximumConnections, sessions);
        AtomicInteger openExchanges = new AtomicInteger();
        Http1Config config =
                Http1Config.custom()
                        .setMaxLineLength(maximumHeaderLineBytes)
                        .setMaxHeaderCount(MAXIMUM_HEADERS)
                        .build();
        HttpAsyncServer server =
                new HttpAsyncServer(
                        CallerConnectionFactory.create(
                                config,
                                (request, context) ->
                                        new FrontExchange(
                                                control,
                                                memory,
                                                sessions.find(current.mConnection),
                                                maximumBodyBytes.getAsInt(),
                                                receiver,
                                                openExchanges),
                                current,
                                sessions,
                                memory),
                        reactorConfig(),
                        sessions::decorate,
                        e -> LOG.debug("front: A connection failed: {}.", e.toString()),
                        sessions,
                        null,
                        limit,
                        null);
        server.start();
        return new FrontServer(server, address, openExchanges, limit, sessions, memory);
    }

    /** Returns the address that the server listens on. */
    public HostPort address() {
        return mAddress;
    }

    /**
     * Listens on an additional address.
     *
     * @throws IOException if the address can't be listened on
     */
    public void alsoListen(HostPort address) throws IOException {
        listen(address);
    }

    /**
     * Returns whether the server still accepts requests; it does not if a thread of HttpCore has
     * ended, which closes what it listens on.
     */
    public boolean isRunning() {
        return mServer.getStatus() == IOReactorStatus.ACTIVE
                && mServer.getEndpoints().stream().filter(each -> !each.isClosed()).count()
                        == mListeners.get();
    }

    /**
     * Closes the connections whose callers have read nothing of a response for a second, if there
     * is little memory left.
     */
    public void closeUnreadIfMemoryIsShort() {
        if (mMemory.isNearlySpent()) {
            int count = mSessions.closeUnread(MonotonicClock.nowMillis());
            if (count > 0) {
                EventLog.write("front", "unread.closed", "count", count);
            }
        }
    }

    /** Returns the number of requests whose head was read and whose response is not complete. */
    public int openExchanges() {
        return mOpenExchanges.get();
    }

    /**
     * Stops the server once the requests that it has begun to read have their responses, and those
     * have been written. Blocks until then.
     *
     * @param grace maximum time to wait; connections that are open after it are closed
     */
    public void stop(Duration grace) {
        long deadlineMillis = MonotonicClock.nowMillis() + grace.toMillis();
        try {
            while (openExchanges() > 0 && MonotonicClock.nowMillis() < deadlineMillis) {
                Thread.sleep(STOP_CHECK_INTERVAL_MILLIS);
            }
            mConnectionLimit.end();
            mServer.initiateShutdown();
            long remainingMillis = deadlineMillis - MonotonicClock.nowMillis();
            mServer.awaitShutdown(TimeValue.ofMilliseconds(Math.max(0, remainingMillis)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        mConnectionLimit.end();
        mServer.close(CloseMode.IMMEDIATE);
    }

    private static IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setSoTimeout(IDLE_TIMEOUT)
                .setSoReuseAddress(true)
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setBacklogSize(ACCEPT_BACKLOG)
                .build();
    }

    private HostPort listen(HostPort address) throws IOException {
        try {
            ListenerEndpoint endpoint =
                    mServer.listen(address.toSocketAddress(), URIScheme.HTTP)
                            .get(LISTEN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            mListeners.incrementAndGet();
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
     * Holds the connection whose request is currently being dispatched.
     *
     * <p>The server has a single I/O thread, which reads a request's head and then immediately
     * requests its handler. Confined to that thread.
     */
    private static final class CurrentConnection implements Http1StreamListener {
        private HttpConnection mConnection;

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {
            mConnection = connection;
        }

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {
            // Not used.
        }

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            // Not used.
        }
    }
}
