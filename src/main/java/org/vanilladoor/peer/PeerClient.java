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
 * Calls other entries over Thrift.
 *
 * <p>Invariant: a connection is reused only after its last call ended well. Safe for use by any
 * thread.
 */
public final class PeerClient implements AutoCloseable {
    static final int MAXIMUM_MESSAGE_BYTES = 4 * 1_024 * 1_024;
    private static final int CONNECT_MILLIS = 500;
    private static final int ANSWER_MILLIS = 2_000;
    private static final int MAXIMUM_IDLE = 2;
    private final ExecutorService mExecutor;
    private final Map<HostPort, ConcurrentLinkedDeque<Link>> mIdle = new ConcurrentHashMap<>();

    private PeerClient(ExecutorService executor) {
        mExecutor = executor;
    }

    /** Returns a client whose calls run on the executor. */
    public static PeerClient create(ExecutorService executor) {
        return new PeerClient(executor);
    }

    /** Calls a peer; the future fails if no answer came. */
    public <T> CompletableFuture<T> call(HostPort address, PeerCall<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mExecutor.execute(
                () -> {
                    try {
                        result.complete(callNow(address, call));
                    } catch (TException | RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    @Override
    public void close() {
        mIdle.values().forEach(links -> links.forEach(link -> link.transport().close()));
    }

    private <T> T callNow(HostPort address, PeerCall<T> call) throws TException {
        ConcurrentLinkedDeque<Link> idle =
                mIdle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        Link kept = idle.pollFirst();
        if (kept != null) {
            try {
                return answer(idle, kept, call);
            } catch (TTransportException e) {
                // The peer may have closed a kept connection; peer calls may be repeated.
                kept.transport().close();
            }
        }
        return answer(idle, connect(address), call);
    }

    private static <T> T answer(ConcurrentLinkedDeque<Link> idle, Link link, PeerCall<T> call)
            throws TException {
        boolean whole = false;
        try {
            T result = call.apply(link.client());
            whole = true;
            return result;
        } finally {
            if (whole && idle.size() < MAXIMUM_IDLE) {
                idle.addFirst(link);
            } else {
                link.transport().close();
            }
        }
    }

    private static Link connect(HostPort address) throws TException {
        TConfiguration limits = limits();
        TSocket socket =
                new TSocket(limits, address.host(), address.port(), ANSWER_MILLIS, CONNECT_MILLIS);
        TTransport transport = new TFramedTransport(socket, MAXIMUM_MESSAGE_BYTES);
        transport.open();
        return new Link(transport, new Peer.Client(new TCompactProtocol(transport)));
    }

    static TConfiguration limits() {
        return new TConfiguration(
                MAXIMUM_MESSAGE_BYTES,
                MAXIMUM_MESSAGE_BYTES,
                TConfiguration.DEFAULT_RECURSION_DEPTH);
    }

    /** One call of the peer protocol. */
    @FunctionalInterface
    public interface PeerCall<T> {
        /** Calls the peer and returns its answer. */
        T apply(Peer.Client client) throws TException;
    }

    private record Link(TTransport transport, Peer.Client client) {}
}
