package org.vanilladoor.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.generated.Peer;

/**
 * Calls other entries over Thrift and keeps idle connections for reuse.
 *
 * <p>Invariant: a connection is reused only if its last call succeeded. Safe for use by any thread.
 */
public final class PeerClient implements AutoCloseable {
    static final int MAXIMUM_MESSAGE_BYTES = 4 * 1_024 * 1_024;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final int MAXIMUM_IDLE_PER_ADDRESS = 2;
    private final ExecutorService mExecutor;
    private final Map<HostPort, ConcurrentLinkedDeque<Connection>> mIdleConnections =
            new ConcurrentHashMap<>();

    private PeerClient(ExecutorService executor) {
        mExecutor = executor;
    }

    /** Returns a client that runs its blocking calls on the given executor. */
    public static PeerClient create(ExecutorService executor) {
        return new PeerClient(executor);
    }

    /**
     * Calls a peer; the future completes with the result of the call.
     *
     * <p>The call may be executed twice, since it is repeated if a reused connection fails. The
     * future fails with a {@link TException} if there is no connection or no response, or if the
     * peer refused the call.
     */
    public <T> CompletableFuture<T> call(HostPort address, PeerCall<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mExecutor.execute(
                () -> {
                    try {
                        result.complete(callBlocking(address, call));
                    } catch (TException | RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    @Override
    public void close() {
        mIdleConnections
                .values()
                .forEach(
                        connections ->
                                connections.forEach(connection -> connection.transport().close()));
    }

    private <T> T callBlocking(HostPort address, PeerCall<T> call) throws TException {
        ConcurrentLinkedDeque<Connection> idle =
                mIdleConnections.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        Connection reused = idle.pollFirst();
        if (reused != null) {
            try {
                return callOver(idle, reused, call);
            } catch (TTransportException e) {
                // The peer may have closed the idle connection. Peer calls may be executed twice,
                // so
                // this one is repeated on a new connection.
                reused.transport().close();
            }
        }
        return callOver(idle, connect(address), call);
    }

    private static <T> T callOver(
            ConcurrentLinkedDeque<Connection> idle, Connection connection, PeerCall<T> call)
            throws TException {
        boolean succeeded = false;
        try {
            T result = call.apply(connection.client());
            succeeded = true;
            return result;
        } finally {
            if (succeeded && idle.size() < MAXIMUM_IDLE_PER_ADDRESS) {
                idle.addFirst(connection);
            } else {
                connection.transport().close();
            }
        }
    }

    private static Connection connect(HostPort address) throws TException {
        TConfiguration limits = messageLimits();
        TSocket socket =
                new TSocket(
                        limits,
                        address.host(),
                        address.port(),
                        RESPONSE_TIMEOUT_MILLIS,
                        CONNECT_TIMEOUT_MILLIS);
        TTransport transport = new TFramedTransport(socket, MAXIMUM_MESSAGE_BYTES);
        transport.open();
        return new Connection(transport, new Peer.Client(new TCompactProtocol(transport)));
    }

    static TConfiguration messageLimits() {
        return new TConfiguration(
                MAXIMUM_MESSAGE_BYTES,
                MAXIMUM_MESSAGE_BYTES,
                TConfiguration.DEFAULT_RECURSION_DEPTH);
    }

    /** One call of the peer protocol. */
    @FunctionalInterface
    public interface PeerCall<T> {
        /** Calls the peer and returns the response. */
        T apply(Peer.Client client) throws TException;
    }

    /** A connection with the client that uses it. */
    private record Connection(TTransport transport, Peer.Client client) {}
}
