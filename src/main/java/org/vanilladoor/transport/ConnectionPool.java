package org.vanilladoor.transport;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;

/**
 * The connections of this process to other processes.
 *
 * <p>Invariants: a connection carries one call at a time; an idle one is used again only within
 * {@link #IDLE_MILLIS}; nothing is repeated. Belongs to the control thread.
 */
public final class ConnectionPool implements AutoCloseable {
    /** Idle time after which a connection is closed; endpoints close theirs some time later. */
    public static final long IDLE_MILLIS = 3_500;

    private static final Logger LOG = LogManager.getLogger(ConnectionPool.class);

    /** Connections in all; HttpCore asks for a bound, descriptors are the real one. */
    private static final int MAXIMUM_CONNECTIONS = 4_000;

    /** Time after which a silent peer's connection is probed, and between probes, in seconds. */
    private static final int PROBE_SECONDS = 1;

    private static final int PROBES = 3;

    /** Silence after which HttpCore closes a connection; callers of this class wait far less. */
    private static final Timeout IDLE_TIMEOUT = Timeout.ofMinutes(2);

    private final ControlLoop mControl;
    private final HttpAsyncRequester mRequester;
    private final Map<HostPort, Deque<Link>> mIdle = new HashMap<>();

    private ConnectionPool(ControlLoop control, HttpAsyncRequester requester) {
        mControl = control;
        mRequester = requester;
    }

    /** Starts without connections. */
    public static ConnectionPool start(ControlLoop control) {
        HttpAsyncRequester requester =
                AsyncRequesterBootstrap.bootstrap()
                        .setIOReactorConfig(
                                IOReactorConfig.custom()
                                        .setIoThreadCount(1)
                                        .setSoTimeout(IDLE_TIMEOUT)
                                        .setTcpNoDelay(true)
                                        .setSoKeepAlive(true)
                                        .setTcpKeepIdle(PROBE_SECONDS)
                                        .setTcpKeepInterval(PROBE_SECONDS)
                                        .setTcpKeepCount(PROBES)
                                        .build())
                        .setHttpProcessor(
                                HttpProcessorBuilder.create().add(new RequestContent()).build())
                        .setMaxTotal(MAXIMUM_CONNECTIONS)
                        .setDefaultMaxPerRoute(MAXIMUM_CONNECTIONS)
                        .setExceptionCallback(
                                e -> LOG.debug("links: A connection failed: {}.", e.toString()))
                        .create();
        requester.start();
        return new ConnectionPool(control, requester);
    }

    /**
     * Sends a request, once.
     *
     * @param address where to
     * @param connectMillis longest time to connect, in milliseconds
     * @param request head, with its Host header
     * @param body body, empty for none
     * @param listener hears of the outcome
     */
    public OutgoingCall send(
            HostPort address,
            long connectMillis,
            HttpRequest request,
            byte[] body,
            OutgoingListener listener) {
        OutgoingCall call = new OutgoingCall(mControl, this, request, body, listener);
        Link idle = takeIdle(address);
        if (idle == null) {
            connect(address, connectMillis, call);
        } else {
            call.sendOn(idle);
        }
        return call;
    }

    /** Closes connections that have been idle for too long. */
    public void closeIdle() {
        long before = MonotonicClock.nowMillis() - IDLE_MILLIS;
        mIdle.values()
                .forEach(
                        links -> {
                            while (!links.isEmpty() && links.peekFirst().mIdleSince < before) {
                                discard(links.pollFirst());
                            }
                        });
        mIdle.values().removeIf(Deque::isEmpty);
    }

    /** Returns whether it still connects. */
    public boolean isRunning() {
        return mRequester.getStatus() == IOReactorStatus.ACTIVE;
    }

    @Override
    public void close() {
        mRequester.close(CloseMode.IMMEDIATE);
    }

    void release(Link link) {
        link.mIdleSince = MonotonicClock.nowMillis();
        link.mReused = true;
        mIdle.computeIfAbsent(link.mAddress, address -> new ArrayDeque<>()).addLast(link);
    }

    void discard(Link link) {
        link.mEndpoint.releaseAndDiscard();
    }

    private Link takeIdle(HostPort address) {
        Deque<Link> links = mIdle.getOrDefault(address, new ArrayDeque<>());
        long before = MonotonicClock.nowMillis() - IDLE_MILLIS;
        while (!links.isEmpty()) {
            Link link = links.pollLast();
            if (link.mEndpoint.isConnected() && link.mIdleSince >= before) {
                return link;
            }
            discard(link);
        }
        return null;
    }

    private void connect(HostPort address, long connectMillis, OutgoingCall call) {
        // HttpCore keeps the time-out of connecting for the connection's whole life, so the time to
        // connect is watched here.
        Future<AsyncClientEndpoint> connecting =
                mRequester.connect(
                        new HttpHost("http", address.host(), address.port()),
                        IDLE_TIMEOUT,
                        null,
                        new FutureCallback<>() {
                            @Override
                            public void completed(AsyncClientEndpoint endpoint) {
                                mControl.execute(() -> call.sendOn(new Link(address, endpoint)));
                            }

                            @Override
                            public void failed(Exception e) {
                                mControl.execute(() -> call.connectFailed("can't connect: " + e));
                            }

                            @Override
                            public void cancelled() {
                                mControl.execute(
                                        () -> call.connectFailed("connecting was cancelled"));
                            }
                        });
        mControl.delay(
                Duration.ofMillis(connectMillis),
                () -> {
                    if (!connecting.isDone()) {
                        connecting.cancel(true);
                        call.connectFailed("no connection in " + connectMillis + " ms");
                    }
                });
    }

    /** One connection; belongs to the control thread. */
    static final class Link {
        private final HostPort mAddress;
        private final AsyncClientEndpoint mEndpoint;
        private long mIdleSince;
        private boolean mReused;

        private Link(HostPort address, AsyncClientEndpoint endpoint) {
            mAddress = address;
            mEndpoint = endpoint;
        }

        boolean isReused() {
            return mReused;
        }

        void execute(OutgoingCall call) {
            mEndpoint.execute(call, HttpCoreContext.create());
        }
    }
}
