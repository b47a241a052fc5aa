package org.vanilladoor.transport;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.util.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.SendPermit;

/**
 * A pool of HTTP connections from this process to other processes.
 *
 * <p>Invariants: a connection carries one call at a time; an idle connection is reused only within
 * {@link #MAXIMUM_IDLE_MILLIS}, and none of a peer that has lately mixed up its responses; no call
 * is retried. Confined to the control thread.
 */
public final class ConnectionPool implements AutoCloseable {
    /** Idle time after which a connection is closed; endpoints close idle connections later. */
    public static final long MAXIMUM_IDLE_MILLIS = 3_500;

    /** Maximum number of connections, unless the process has fewer descriptors. */
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 4_000;

    private final ControlLoop mControl;
    private final MemoryBudget mMemory;
    private final HttpAsyncRequester mRequester;
    private final Map<HostPort, Deque<PooledConnection>> mIdle = new HashMap<>();
    private final DistrustedPeers mDistrustedPeers = DistrustedPeers.create();
    private final Consumer<ConnectionAnomaly> mAnomalyListener;
    private boolean mShutDown;

    private ConnectionPool(
            ControlLoop control,
            MemoryBudget memory,
            HttpAsyncRequester requester,
            Consumer<ConnectionAnomaly> anomalyListener) {
        mControl = control;
        mMemory = memory;
        mRequester = requester;
        mAnomalyListener = anomalyListener;
    }

    /**
     * Starts a pool without connections.
     *
     * @see #start(int, ControlLoop, MemoryBudget, Consumer)
     */
    public static ConnectionPool start(
            ControlLoop control, MemoryBudget memory, Consumer<ConnectionAnomaly> anomalyListener) {
        return start(DEFAULT_MAXIMUM_CONNECTIONS, control, memory, anomalyListener);
    }

    /**
     * Starts a pool without connections.
     *
     * @param maximumConnections connections that may be open or about to be opened; further calls
     *     wait for one within their connect timeout
     * @param memory the memory that responses take
     * @param anomalyListener called on the control thread when a peer mixes up its responses
     */
    public static ConnectionPool start(
            int maximumConnections,
            ControlLoop control,
            MemoryBudget memory,
            Consumer<ConnectionAnomaly> anomalyListener) {
        HttpAsyncRequester requester = OutgoingReactor.start(maximumConnections);
        return new ConnectionPool(control, memory, requester, anomalyListener);
    }

    /**
     * Sends a request at most once, over an idle connection or a new one.
     *
     * @see #send(HostPort, ConnectionUse, long, HttpRequest, byte[], SendPermit, OutgoingListener)
     */
    public OutgoingCall send(
            HostPort address,
            ConnectionUse use,
            long connectTimeoutMillis,
            HttpRequest request,
            byte[] body,
            OutgoingListener listener) {
        return send(
                address, use, connectTimeoutMillis, request, body, SendPermit.UNLIMITED, listener);
    }

    /**
     * Sends a request at most once and within a permit, over an idle connection or a new one.
     *
     * @param address address of the peer
     * @param use connections that may carry the call
     * @param connectTimeoutMillis maximum time to connect, in milliseconds
     * @param request request head, including the Host header
     * @param body request body; empty if there is none
     * @param permit time in which the request may be written
     * @param listener receives the response or the failure
     */
    public OutgoingCall send(
            HostPort address,
            ConnectionUse use,
            long connectTimeoutMillis,
            HttpRequest request,
            byte[] body,
            SendPermit permit,
            OutgoingListener listener) {
        OutgoingCall call =
                new OutgoingCall(
                        mControl,
                        this,
                        address,
                        connectTimeoutMillis,
                        request,
                        body,
                        permit,
                        listener);
        PooledConnection idle = use.isReuseAllowed() ? takeIdle(address) : null;
        if (idle == null) {
            connect(address, connectTimeoutMillis, call);
        } else {
            call.onConnected(idle);
        }
        return call;
    }

    /**
     * Finds out whether a peer accepts connections; a connection that is made is kept for a later
     * call.
     *
     * @param listener receives the result on the control thread, exactly once
     */
    public void probe(HostPort address, long timeoutMillis, Consumer<Reachability> listener) {
        connect(
                address,
                timeoutMillis,
                new ConnectListener() {
                    @Override
                    public void onConnected(PooledConnection connection) {
                        release(connection);
                        listener.accept(Reachability.LISTENING);
                    }

                    @Override
                    public void onFailed(Reachability reachability, String reason) {
                        listener.accept(reachability);
                    }
                });
    }

    /** Closes connections that have been idle for longer than {@link #MAXIMUM_IDLE_MILLIS}. */
    public void closeIdle() {
        long idleSinceLimitMillis = MonotonicClock.nowMillis() - MAXIMUM_IDLE_MILLIS;
        mIdle.values()
                .forEach(
                        connections -> {
                            while (!connections.isEmpty()
                                    && connections.peekFirst().mIdleSinceMillis
                                            < idleSinceLimitMillis) {
                                discard(connections.pollFirst());
                            }
                        });
        mIdle.values().removeIf(Deque::isEmpty);
        mDistrustedPeers.removeExpired(MonotonicClock.nowMillis());
    }

    /**
     * Records that a peer mixed up its responses. For a while, no connection to it is reused.
     *
     * @param detail description of what was seen, for the log
     */
    public void recordAnomaly(HostPort peer, ConnectionAnomaly anomaly, String detail) {
        EventLog.write(
                "links", "response.mixed", "peer", peer, "anomaly", anomaly, "detail", detail);
        mAnomalyListener.accept(anomaly);
        mDistrustedPeers.add(peer, MonotonicClock.nowMillis());
        Deque<PooledConnection> idle = mIdle.remove(peer);
        if (idle != null) {
            idle.forEach(this::discard);
        }
    }

    /** Opens an account for the input of a call. */
    MemoryBudget.Account openInputAccount() {
        return mMemory.open(MemoryBudget.Use.RESPONSE_INPUT);
    }

    /** Opens an account for what the sender of a call keeps of its response. */
    public MemoryBudget.Account openAccount(MemoryBudget.Use use) {
        return mMemory.open(use);
    }

    /** Returns whether the pool can still open connections. */
    public boolean isRunning() {
        return !mShutDown && mRequester.getStatus() == IOReactorStatus.ACTIVE;
    }

    @Override
    public void close() {
        mRequester.close(CloseMode.IMMEDIATE);
    }

    void release(PooledConnection connection) {
        long nowMillis = MonotonicClock.nowMillis();
        if (mDistrustedPeers.contains(connection.mAddress, nowMillis)) {
            discard(connection);
            return;
        }
        connection.mIdleSinceMillis = nowMillis;
        connection.mReused = true;
        mIdle.computeIfAbsent(connection.mAddress, address -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Resets a connection whose call is given up; what has not left this VM is not delivered. */
    void reset(PooledConnection connection) {
        connection.mBoundary.reset();
        discard(connection);
    }

    void discard(PooledConnection connection) {
        connection.mEndpoint.releaseAndDiscard();
    }

    private PooledConnection takeIdle(HostPort address) {
        Deque<PooledConnection> connections = mIdle.getOrDefault(address, new ArrayDeque<>());
        long idleSinceLimitMillis = MonotonicClock.nowMillis() - MAXIMUM_IDLE_MILLIS;
        while (!connections.isEmpty()) {
            PooledConnection connection = connections.pollLast();
            if (connection.mEndpoint.isConnected()
                    && connection.mIdleSinceMillis >= idleSinceLimitMillis) {
                return connection;
            }
            discard(connection);
        }
        return null;
    }

    void connect(HostPort address, long timeoutMillis, ConnectListener listener) {
        PendingConnect pending = new PendingConnect(listener);
        if (mRequester.getTotalStats().getLeased() >= mRequester.getMaxTotal()) {
            discardOldestIdle();
        }
        try {
            connect(address, timeoutMillis, pending);
        } catch (IOReactorShutdownException e) {
            // An I/O thread that has ended is reported here only.
            mShutDown = true;
            mControl.execute(() -> pending.fail(Reachability.UNKNOWN, "can't connect: " + e));
        }
    }

    /** Makes room for a connection. */
    private void discardOldestIdle() {
        mIdle.values().stream()
                .filter(connections -> !connections.isEmpty())
                .min(
                        Comparator.comparingLong(
                                connections -> connections.peekFirst().mIdleSinceMillis))
                .ifPresent(connections -> discard(connections.pollFirst()));
    }

    private void connect(HostPort address, long timeoutMillis, PendingConnect pending) {
        ResponseBoundary boundary =
                ResponseBoundary.create(
                        (anomaly, detail) ->
                                mControl.execute(() -> recordAnomaly(address, anomaly, detail)));
        // HttpCore gives up an attempt up to a second late, but frees its socket and its place. It
        // applies the connect timeout as the socket timeout, too, which is set again below.
        Future<AsyncClientEndpoint> future =
                mRequester.connect(
                        new HttpHost("http", address.host(), address.port()),
                        Timeout.ofMilliseconds(timeoutMillis),
                        boundary,
                        new FutureCallback<>() {
                            @Override
                            public void completed(AsyncClientEndpoint endpoint) {
                                boundary.setSocketTimeout(OutgoingReactor.SOCKET_TIMEOUT);
                                mControl.execute(
                                        () ->
                                                pending.complete(
                                                        new PooledConnection(
                                                                address, endpoint, boundary)));
                            }

                            @Override
                            public void failed(Exception e) {
                                Reachability reachability =
                                        isRefused(e) ? Reachability.REFUSED : Reachability.UNKNOWN;
                                mControl.execute(
                                        () -> pending.fail(reachability, "can't connect: " + e));
                            }

                            @Override
                            public void cancelled() {
                                mControl.execute(
                                        () ->
                                                pending.fail(
                                                        Reachability.UNKNOWN,
                                                        "connecting was cancelled"));
                            }
                        });
        pending.mTimeLimit =
                mControl.schedule(
                        Duration.ofMillis(timeoutMillis),
                        () -> {
                            if (!future.isDone()) {
                                future.cancel(true);
                                pending.fail(
                                        Reachability.UNKNOWN,
                                        "no connection in " + timeoutMillis + " ms");
                            }
                        });
    }

    /** Returns whether the peer's host answered that nothing listens at the port. */
    private static boolean isRefused(Exception failure) {
        return failure instanceof ConnectException
                && String.valueOf(failure.getMessage()).contains("refused");
    }

    /** Whether a peer accepts connections. */
    public enum Reachability {
        /** The peer accepts connections. */
        LISTENING,
        /** The peer's host answered that nothing listens at the port. */
        REFUSED,
        /** The peer did not answer in time, or could not be reached for another reason. */
        UNKNOWN
    }

    /** Receives the outcome of an attempt to connect, exactly once, on the control thread. */
    interface ConnectListener {
        void onConnected(PooledConnection connection);

        void onFailed(Reachability reachability, String reason);
    }

    /**
     * An attempt to connect. The first outcome counts; a connection that is made after it is kept
     * for a later call. The time limit ends with the first outcome. Confined to the control thread.
     */
    private final class PendingConnect {
        private final ConnectListener mListener;
        private ControlLoop.Timer mTimeLimit = ControlLoop.Timer.NONE;
        private boolean mDone;

        PendingConnect(ConnectListener listener) {
            mListener = listener;
        }

        void complete(PooledConnection connection) {
            if (mDone) {
                release(connection);
                return;
            }
            mDone = true;
            mTimeLimit.cancel();
            mListener.onConnected(connection);
        }

        void fail(Reachability reachability, String reason) {
            if (!mDone) {
                mDone = true;
                mTimeLimit.cancel();
                mListener.onFailed(reachability, reason);
            }
        }
    }

    /** A connection of the pool. Confined to the control thread. */
    static final class PooledConnection {
        private final HostPort mAddress;
        private final AsyncClientEndpoint mEndpoint;
        private final ResponseBoundary mBoundary;
        private long mIdleSinceMillis;
        private boolean mReused;

        private PooledConnection(
                HostPort address, AsyncClientEndpoint endpoint, ResponseBoundary boundary) {
            mAddress = address;
            mEndpoint = endpoint;
            mBoundary = boundary;
        }

        /** Returns which bytes belong to responses; for the I/O thread only. */
        ResponseBoundary boundary() {
            return mBoundary;
        }

        boolean isReused() {
            return mReused;
        }

        void execute(OutgoingExchange exchange) {
            mEndpoint.execute(exchange, HttpCoreContext.create());
        }
    }
}
