package org.vanilladoor.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutorService;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.generated.Peer;

/**
 * Answers other entries over Thrift, with one traffic thread per connection.
 *
 * <p>Messages are bounded in size. All methods may be called by any thread.
 */
public final class PeerServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int CLIENT_SILENCE_MILLIS = 60_000;
    private final TThreadPoolServer mServer;
    private final ExecutorService mThreads;
    private final HostPort mAddress;

    private PeerServer(TThreadPoolServer server, ExecutorService threads, HostPort address) {
        mServer = server;
        mThreads = threads;
        mAddress = address;
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 takes a free one
     * @param service answers the calls
     * @throws IOException if the address can't be bound
     */
    public static PeerServer start(HostPort address, Peer.Iface service) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(
                new InetSocketAddress(InetAddress.getByName(address.host()), address.port()),
                BACKLOG);
        try {
            ExecutorService threads = ThreadPools.newDaemonThreadPool("peer");
            TThreadPoolServer server =
                    new TThreadPoolServer(
                            new TThreadPoolServer.Args(
                                            new TServerSocket(socket, CLIENT_SILENCE_MILLIS))
                                    .processor(new Peer.Processor<>(service))
                                    .transportFactory(
                                            new TFramedTransport.Factory(
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES))
                                    .protocolFactory(
                                            new TCompactProtocol.Factory(
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES,
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES))
                                    .stopTimeoutVal(1)
                                    .executorService(threads));
            threads.execute(server::serve);
            return new PeerServer(
                    server, threads, new HostPort(address.host(), socket.getLocalPort()));
        } catch (TTransportException e) {
            socket.close();
            throw new IOException("can't answer peers on " + address, e);
        }
    }

    /** Returns the address in use. */
    public HostPort address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.stop();
        mThreads.shutdownNow();
    }
}
